import {
  HttpLogClient,
  ListedState,
  type HostListing,
} from '@wisteriadeal/platform';

import {ControlClient} from './control-client.js';
import {EntryHost} from './entry-host.js';
import {FleetNetwork, PLATFORM_PLACE} from './fleet-network.js';
import type {FleetPlan} from './fleet-plan.js';
import type {ManagedProcess} from './managed-process.js';
import {Binary, ProcessStarter} from './process-starter.js';
import type {RelayState} from './relay.js';

const LOG_TIMEOUT_MILLISECONDS = 5_000;
const CACHED_PREFIXES = 256;
const LOAD_LAG_MILLISECONDS = 100;
const CACHE_EVENT_LOSS_SHARE = 0.1;
const WEIGHT_TICKETS_EACH_MINUTE = 60;

/** An endpoint's process and where it stands. */
export interface RunningEndpoint {
  readonly name: string;
  readonly dataCenter: string;
  readonly process: ManagedProcess;
  readonly control: ControlClient;
  /** True where it refuses an order with an old fencing number. */
  readonly checksFencingNumbers: boolean;
  /** As the platform's list shows it. */
  state: ListedState;
}

/**
 * A whole fleet as separate processes on loopback: stand-ins of the platform,
 * engines and plain services, and entry hosts with a keeper and a router each.
 */
export class Fleet {
  readonly network = new FleetNetwork();
  readonly engines: RunningEndpoint[] = [];
  readonly plainServices: RunningEndpoint[] = [];
  readonly hosts: EntryHost[] = [];
  private hostCount = 0;

  private constructor(
    readonly plan: FleetPlan,
    private readonly starter: ProcessStarter,
    private readonly platform: ManagedProcess,
    /** Control of the platform's stand-in. */
    readonly platformControl: ControlClient,
    /** The log, as operators and auditors reach it. */
    readonly log: HttpLogClient,
  ) {}

  /**
   * Starts every process of the plan and shows the hosts in the platform's list.
   *
   * @throws Error where a process does not start.
   */
  static async start(plan: FleetPlan): Promise<Fleet> {
    const starter = new ProcessStarter();
    const platform = await starter.start(Binary.Platform, 'platform', {
      process: standInProcess('platform', plan.seed),
      listLagMilliseconds: plan.listLagMilliseconds,
      weightTicketsEachMinute: WEIGHT_TICKETS_EACH_MINUTE,
    });
    const address = platform.address('address');
    const log = new HttpLogClient({
      url: `http://${address}`,
      timeoutMilliseconds: LOG_TIMEOUT_MILLISECONDS,
    });
    const control = new ControlClient(address);
    const fleet = new Fleet(plan, starter, platform, control, log);
    await fleet.startParts();
    return fleet;
  }

  /** Directory of settings and output of the processes. */
  get outputDirectory(): string {
    return this.starter.directory;
  }

  /** `IP:port` of the platform's stand-in. */
  get platformAddress(): string {
    return this.platform.address('address');
  }

  /** Where callers may connect, by the platform's balancer. */
  get callerAddresses(): readonly string[] {
    return this.hosts
      .filter(({state}) => state === ListedState.Live)
      .map(({callerAddress}) => callerAddress);
  }

  /** Starts one more entry host and lists it. */
  async addHost(dataCenter: string): Promise<EntryHost> {
    const host = await this.startHost(dataCenter);
    await this.publishListing();
    return host;
  }

  /** Tells the platform's stand-in the hosts and endpoints, for each viewer. */
  async publishListing(): Promise<void> {
    for (const viewer of this.hosts) {
      const path = `/control/listing?viewer=${viewer.name}`;
      const listing = await this.listingFor(viewer.dataCenter);
      await this.platformControl.send('PUT', path, listing);
    }
  }

  /** A host is gone at once; the list shows it after its lag. */
  async killHost(host: EntryHost): Promise<void> {
    await host.kill();
    this.hosts.splice(this.hosts.indexOf(host), 1);
    await this.publishListing();
  }

  /**
   * Takes a host out in good order: listed as leaving first, then stopped.
   *
   * @returns True where its processes stopped by themselves.
   */
  async retireHost(host: EntryHost): Promise<boolean> {
    host.state = ListedState.Leaving;
    await this.publishListing();
    const stopped = await host.stop();
    this.hosts.splice(this.hosts.indexOf(host), 1);
    await this.publishListing();
    return stopped;
  }

  /** The entry hosts of one data centre. */
  hostsOf(dataCenter: string): readonly EntryHost[] {
    return this.hosts.filter(host => host.dataCenter === dataCenter);
  }

  /** Cuts or heals between two data centres, or one and the platform. */
  async setNetwork(
    one: string,
    other: string,
    state: RelayState,
  ): Promise<void> {
    await this.network.set(one, other, state);
  }

  /** Sets the faults of the platform's stand-in as a whole. */
  async setPlatformFaults(faults: Record<string, unknown>): Promise<void> {
    await this.platformControl.send('POST', '/control/faults', faults);
  }

  /**
   * Stops all hosts in good order.
   *
   * @returns Names of the hosts whose keeper stopped by itself.
   */
  async stopHosts(): Promise<readonly string[]> {
    const hosts = [...this.hosts];
    await Promise.all(hosts.map(host => host.router.stop()));
    const stopped = await Promise.all(hosts.map(host => host.keeper.stop()));
    return hosts.filter((_, index) => stopped[index]).map(({name}) => name);
  }

  /** Ends everything. */
  async close(keepOutput = false): Promise<void> {
    const controls = [...this.engines, ...this.plainServices];
    await Promise.all(controls.map(endpoint => endpoint.control.close()));
    await this.platformControl.close();
    await this.log.close();
    await this.starter.close(keepOutput);
    await this.network.close();
  }

  private async startParts(): Promise<void> {
    const starts = this.plan.dataCenters.flatMap(plan => [
      this.startEngines(plan.name, plan.engines),
      this.startPlainServices(plan.name, plan.plainServices),
      this.startHosts(plan.name, plan.hosts),
    ]);
    try {
      // All of them, also after one failed: what starts late must be ended too.
      const results = await Promise.allSettled(starts);
      throwFirst(results);
      await this.publishListing();
    } catch (error) {
      await this.close(true);
      throw error;
    }
  }

  private async startHosts(dataCenter: string, count: number): Promise<void> {
    const starts = Array.from({length: count}, () =>
      this.startHost(dataCenter),
    );
    await Promise.all(starts);
  }

  private async startHost(dataCenter: string): Promise<EntryHost> {
    const name = `${dataCenter}-host-${++this.hostCount}`;
    const platform = this.platform.address('address');
    const reached = await this.network.reach(
      dataCenter,
      PLATFORM_PLACE,
      platform,
    );
    const seeds = this.hosts.map(host =>
      this.network.view(dataCenter, host.listed),
    );
    const host = await EntryHost.start(this.starter, {
      host: name,
      dataCenter,
      platformUrl: `http://${reached}`,
      ledgerStreams: this.plan.ledgerStreams,
      keeper: this.plan.keeper,
      seedKeepers: (await Promise.all(seeds)).map(seed => seed.keeperAddress),
    });
    this.hosts.push(host);
    return host;
  }

  private async startEngines(dataCenter: string, count: number): Promise<void> {
    const starts = Array.from({length: count}, async (_, index) => {
      const name = `${dataCenter}-engine-${index + 1}`;
      const {engine} = this.plan;
      const checksFencingNumbers = index % 2 === 0;
      const child = await this.starter.start(Binary.Engine, name, {
        process: standInProcess(name, this.plan.seed + index),
        slots: engine.slots,
        maximumWaiting: engine.maximumWaiting,
        millisecondsPerToken: engine.millisecondsPerToken,
        promptTokensPerStep: engine.promptTokensPerStep,
        cachedPrefixes: CACHED_PREFIXES,
        loadLagMilliseconds: LOAD_LAG_MILLISECONDS,
        cacheEventLossShare: CACHE_EVENT_LOSS_SHARE,
        checksFencingNumbers,
      });
      this.engines.push(
        runningEndpoint(name, dataCenter, child, checksFencingNumbers),
      );
    });
    await Promise.all(starts);
  }

  private async startPlainServices(
    dataCenter: string,
    count: number,
  ): Promise<void> {
    const starts = Array.from({length: count}, async (_, index) => {
      const name = `${dataCenter}-registry-${index + 1}`;
      const child = await this.starter.start(Binary.PlainService, name, {
        process: standInProcess(name, this.plan.seed + index),
        millisecondsPerCall: this.plan.millisecondsPerCall,
      });
      this.plainServices.push(runningEndpoint(name, dataCenter, child, false));
    });
    await Promise.all(starts);
  }

  private async listingFor(dataCenter: string): Promise<HostListing> {
    const hosts = this.hosts.map(host =>
      this.network.view(dataCenter, host.listed),
    );
    const endpoints = [...this.engines, ...this.plainServices].map(
      ({name, state}) => ({endpoint: name, state}),
    );
    return {hosts: await Promise.all(hosts), endpoints};
  }
}

function throwFirst(results: readonly PromiseSettledResult<unknown>[]): void {
  const failed = results.find(result => result.status === 'rejected');
  if (failed?.status === 'rejected') {
    throw failed.reason;
  }
}

function standInProcess(name: string, seed: number) {
  return {
    name,
    address: '127.0.0.1',
    port: 0,
    logLevel: 'LOG_LEVEL_INFO',
    seed,
  };
}

function runningEndpoint(
  name: string,
  dataCenter: string,
  child: ManagedProcess,
  checksFencingNumbers: boolean,
): RunningEndpoint {
  const control = new ControlClient(child.address('address'));
  const state = ListedState.Live;
  return {
    name,
    dataCenter,
    process: child,
    control,
    checksFencingNumbers,
    state,
  };
}
