import {
  HttpLogClient,
  ListedState,
  type HostListing,
} from '@wisteriadeal/platform';

import {ControlClient} from './control-client.js';
import {EntryHost} from './entry-host.js';
import {FleetNetwork, PLATFORM_LOCATION} from './fleet-network.js';
import type {FleetPlan} from './fleet-plan.js';
import type {ManagedProcess} from './managed-process.js';
import {EntryScript, ProcessStarter} from './process-starter.js';
import type {RelayState} from './relay.js';

const LOG_TIMEOUT_MILLISECONDS = 5_000;
const CACHED_PREFIXES = 256;
const LOAD_LAG_MILLISECONDS = 100;
const CACHE_EVENT_LOSS_SHARE = 0.1;
const WEIGHT_TICKETS_EACH_MINUTE = 60;

/** An endpoint's process, with its data centre and listed state. */
export interface RunningEndpoint {
  readonly name: string;
  readonly dataCenter: string;
  readonly process: ManagedProcess;
  readonly control: ControlClient;
  /** True if it rejects orders that carry an outdated fencing number. */
  readonly checksFencingNumbers: boolean;
  /** Its state in the platform's list. */
  state: ListedState;
}

/**
 * A fleet of separate processes on loopback: stand-ins for the platform, engines and
 * plain services, and entry hosts with a keeper and a router each.
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
    /** Client of the platform stand-in's control interface. */
    readonly platformControl: ControlClient,
    /** Client of the platform's log; it connects directly, not through a relay. */
    readonly log: HttpLogClient,
  ) {}

  /**
   * Starts all processes of the plan and publishes the hosts in the platform's list.
   *
   * @throws Error if a process fails to start.
   */
  static async start(plan: FleetPlan): Promise<Fleet> {
    const starter = new ProcessStarter();
    try {
      return await Fleet.startWith(starter, plan);
    } catch (error) {
      // Processes that still run would keep the runner from exiting.
      await starter.close(true);
      throw error;
    }
  }

  private static async startWith(
    starter: ProcessStarter,
    plan: FleetPlan,
  ): Promise<Fleet> {
    const platform = await starter.start(EntryScript.Platform, 'platform', {
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
    await fleet.startProcesses();
    return fleet;
  }

  /** Directory with the settings and output of the processes. */
  get outputDirectory(): string {
    return this.starter.directory;
  }

  /** `IP:port` of the platform's stand-in. */
  get platformAddress(): string {
    return this.platform.address('address');
  }

  /**
   * Caller addresses of all live hosts, as the platform's load balancer offers them.
   */
  get callerAddresses(): readonly string[] {
    return this.hosts
      .filter(({state}) => state === ListedState.Live)
      .map(({callerAddress}) => callerAddress);
  }

  /** Starts another entry host and publishes it in the platform's list. */
  async addHost(dataCenter: string): Promise<EntryHost> {
    const host = await this.startHost(dataCenter);
    await this.publishListing();
    return host;
  }

  /**
   * Publishes the list of hosts and endpoints, with the addresses that each viewing
   * host can reach.
   */
  async publishListing(): Promise<void> {
    for (const viewer of this.hosts) {
      const path = `/control/listing?viewer=${viewer.name}`;
      const listing = await this.listingFor(viewer.dataCenter);
      await this.platformControl.send('PUT', path, listing);
    }
  }

  /**
   * Kills a host's processes with SIGKILL; the platform's list reflects it after its
   * lag.
   */
  async killHost(host: EntryHost): Promise<void> {
    await host.kill();
    this.hosts.splice(this.hosts.indexOf(host), 1);
    await this.publishListing();
  }

  /**
   * Shuts a host down gracefully: lists it as leaving, then stops its processes.
   *
   * @returns True if its processes exited without SIGKILL.
   */
  async retireHost(host: EntryHost): Promise<boolean> {
    host.state = ListedState.Leaving;
    await this.publishListing();
    const stopped = await host.stop();
    this.hosts.splice(this.hosts.indexOf(host), 1);
    await this.publishListing();
    return stopped;
  }

  /** Returns the entry hosts of one data centre. */
  hostsOf(dataCenter: string): readonly EntryHost[] {
    return this.hosts.filter(host => host.dataCenter === dataCenter);
  }

  /**
   * Sets the network state between two data centres, or between one and the platform.
   */
  async setNetwork(
    one: string,
    other: string,
    state: RelayState,
  ): Promise<void> {
    await this.network.setState(one, other, state);
  }

  /** Replaces all faults of the platform stand-in. */
  async setPlatformFaults(faults: Record<string, unknown>): Promise<void> {
    await this.platformControl.send('POST', '/control/faults', faults);
  }

  /**
   * Shuts all hosts down gracefully, the routers before the keepers.
   *
   * @returns Names of the hosts whose keeper exited without SIGKILL.
   */
  async stopHosts(): Promise<readonly string[]> {
    const hosts = [...this.hosts];
    await Promise.all(hosts.map(host => host.router.stop()));
    const stopped = await Promise.all(hosts.map(host => host.keeper.stop()));
    return hosts.filter((_, index) => stopped[index]).map(({name}) => name);
  }

  /**
   * Stops all processes and closes all connections.
   *
   * @param keepOutput Keeps the directory of the processes' settings and output.
   */
  async close(keepOutput = false): Promise<void> {
    const controls = [...this.engines, ...this.plainServices];
    await Promise.all(controls.map(endpoint => endpoint.control.close()));
    await this.platformControl.close();
    await this.log.close();
    await this.starter.close(keepOutput);
    await this.network.close();
  }

  private async startProcesses(): Promise<void> {
    const starts = this.plan.dataCenters.flatMap(plan => [
      this.startEngines(plan.name, plan.engines),
      this.startPlainServices(plan.name, plan.plainServices),
      this.startHosts(plan.name, plan.hosts),
    ]);
    try {
      // Waits for all starts even if one fails, so that close() also ends the processes
      // that start late.
      const results = await Promise.allSettled(starts);
      throwFirstRejection(results);
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
    const platformAddress = await this.network.resolveAddress(
      dataCenter,
      PLATFORM_LOCATION,
      platform,
    );
    const seedHosts = this.hosts.map(host =>
      this.network.resolveHost(dataCenter, host.listed),
    );
    const host = await EntryHost.start(this.starter, {
      host: name,
      dataCenter,
      platformUrl: `http://${platformAddress}`,
      ledgerStreams: this.plan.ledgerStreams,
      keeper: this.plan.keeper,
      seedKeepers: (await Promise.all(seedHosts)).map(
        seed => seed.keeperAddress,
      ),
    });
    this.hosts.push(host);
    return host;
  }

  private async startEngines(dataCenter: string, count: number): Promise<void> {
    const starts = Array.from({length: count}, async (_, index) => {
      const name = `${dataCenter}-engine-${index + 1}`;
      const {engine} = this.plan;
      const checksFencingNumbers = index % 2 === 0;
      const child = await this.starter.start(EntryScript.Engine, name, {
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
      const child = await this.starter.start(EntryScript.PlainService, name, {
        process: standInProcess(name, this.plan.seed + index),
        millisecondsPerCall: this.plan.millisecondsPerCall,
      });
      this.plainServices.push(runningEndpoint(name, dataCenter, child, false));
    });
    await Promise.all(starts);
  }

  private async listingFor(dataCenter: string): Promise<HostListing> {
    const hosts = this.hosts.map(host =>
      this.network.resolveHost(dataCenter, host.listed),
    );
    const endpoints = [...this.engines, ...this.plainServices].map(
      ({name, state}) => ({endpoint: name, state}),
    );
    return {hosts: await Promise.all(hosts), endpoints};
  }
}

function throwFirstRejection(
  results: readonly PromiseSettledResult<unknown>[],
): void {
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
