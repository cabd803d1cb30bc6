import {ListedState, type ListedHost} from '@wisteriadeal/platform';

import type {KeeperPlan} from './fleet-plan.js';
import type {ManagedProcess} from './managed-process.js';
import {Binary, type ProcessStarter} from './process-starter.js';

const DRAIN_LIMIT_MILLISECONDS = 10_000;
const KEPT_ANSWER_BYTES = 16_777_216;
const MAXIMUM_QUEUED_REQUESTS = 256;

/** What an entry host is started with. */
export interface EntryHostPlan {
  readonly host: string;
  readonly dataCenter: string;
  /** `http://IP:port` by which this host reaches the platform. */
  readonly platformUrl: string;
  readonly ledgerStreams: number;
  readonly keeper: KeeperPlan;
  /** `IP:port` of keepers to ask while the platform is away. */
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

/** A router and a keeper, as they run on one entry host. */
export class EntryHost {
  /** As the platform's list shows it. */
  state = ListedState.Live;

  private constructor(
    readonly plan: EntryHostPlan,
    readonly keeper: ManagedProcess,
    readonly router: ManagedProcess,
  ) {}

  /** Starts the keeper, then the router. */
  static async start(
    starter: ProcessStarter,
    plan: EntryHostPlan,
  ): Promise<EntryHost> {
    const keeper = await starter.start(
      Binary.Keeper,
      `${plan.host}-keeper`,
      keeperSettings(plan),
    );
    const keeperAddress = keeper.address('controlAddress');
    const router = await starter.start(
      Binary.Router,
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
   * Stops in good order: the router finishes what runs, then the keeper returns
   * its grants.
   *
   * @returns True where both stopped by themselves.
   */
  async stop(): Promise<boolean> {
    const router = await this.router.stop();
    const keeper = await this.keeper.stop();
    return router && keeper;
  }

  /** The host is gone at once. */
  async kill(): Promise<void> {
    await Promise.all([this.router.kill(), this.keeper.kill()]);
  }
}
