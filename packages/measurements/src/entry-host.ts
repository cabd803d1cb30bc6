import {ListedState, type ListedHost} from '@wisteriadeal/platform';

import type {KeeperPlan} from './fleet-plan.js';
import type {ManagedProcess} from './managed-process.js';
import {EntryScript, type ProcessStarter} from './process-starter.js';

const DRAIN_LIMIT_MILLISECONDS = 10_000;
const KEPT_ANSWER_BYTES = 16_777_216;
const MAXIMUM_QUEUED_REQUESTS = 256;

/** Start parameters of an entry host. */
export interface EntryHostPlan {
  readonly host: string;
  readonly dataCenter: string;
  /** `http://IP:port` at which this host reaches the platform. */
  readonly platformUrl: string;
  readonly ledgerStreams: number;
  readonly keeper: KeeperPlan;
  /** `IP:port` of the keepers to contact while the platform is unavailable. */
  readonly seedKeepers: readonly string[];
}

function processSettings(plan: EntryHostPlan) {
  return {
    host: plan.host,
    dataCenter: plan.dataCenter,
    address: '127.0.0.1',
    controlPort: 0,
    logLevel: 'LOG_LEVEL_INFO',
  };
}

function keeperSettings(plan: EntryHostPlan) {
  return {
    process: processSettings(plan),
    platform: {
      logUrl: plan.platformUrl,
      hostListUrl: plan.platformUrl,
      weightStoreUrl: plan.platformUrl,
      timeoutMilliseconds: plan.keeper.platformTimeout,
    },
    ledgerStreams: plan.ledgerStreams,
    billFlushMilliseconds: plan.keeper.billFlush,
    heartbeatMilliseconds: plan.keeper.heartbeat,
    heartbeatLimitMilliseconds: plan.keeper.heartbeatLimit,
    fenceDelayMilliseconds: plan.keeper.fenceDelay,
    orphanWaitMilliseconds: plan.keeper.orphanWait,
    seedKeepers: plan.seedKeepers,
    checkpointRecords: plan.keeper.checkpointRecords,
  };
}

function routerSettings(plan: EntryHostPlan, keeperAddress: string) {
  return {
    process: processSettings(plan),
    callerPort: 0,
    keeperAddress,
    drainLimitMilliseconds: DRAIN_LIMIT_MILLISECONDS,
    keptAnswerBytes: KEPT_ANSWER_BYTES,
    maximumQueuedRequests: MAXIMUM_QUEUED_REQUESTS,
  };
}

/** The router and keeper processes of one entry host. */
export class EntryHost {
  /** Its state in the platform's list. */
  state = ListedState.Live;

  private constructor(
    readonly plan: EntryHostPlan,
    readonly keeper: ManagedProcess,
    readonly router: ManagedProcess,
  ) {}

  /**
   * Starts the keeper, then the router.
   *
   * @throws Error if a process fails to start.
   */
  static async start(
    starter: ProcessStarter,
    plan: EntryHostPlan,
  ): Promise<EntryHost> {
    const keeper = await starter.start(
      EntryScript.Keeper,
      `${plan.host}-keeper`,
      keeperSettings(plan),
    );
    const keeperAddress = keeper.address('controlAddress');
    const router = await starter.start(
      EntryScript.Router,
      `${plan.host}-router`,
      routerSettings(plan, keeperAddress),
    );
    return new EntryHost(plan, keeper, router);
  }

  get name(): string {
    return this.plan.host;
  }

  get dataCenter(): string {
    return this.plan.dataCenter;
  }

  get callerAddress(): string {
    return this.router.address('callerAddress');
  }

  /** The host's own entry in the platform's list. */
  get listed(): ListedHost {
    return {
      host: this.name,
      dataCenter: this.dataCenter,
      state: this.state,
      keeperAddress: this.keeper.address('controlAddress'),
      routerControlAddress: this.router.address('controlAddress'),
      callerAddress: this.callerAddress,
    };
  }

  /**
   * Shuts down gracefully: the router drains its requests, then the keeper returns its
   * grants.
   *
   * @returns True if both processes exited without SIGKILL.
   */
  async stop(): Promise<boolean> {
    const router = await this.router.stop();
    const keeper = await this.keeper.stop();
    return router && keeper;
  }

  /** Kills both processes with SIGKILL. */
  async kill(): Promise<void> {
    await Promise.all([this.router.kill(), this.keeper.kill()]);
  }
}
