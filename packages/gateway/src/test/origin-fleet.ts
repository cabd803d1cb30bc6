import {
  DataCenterCircuitBreaker,
  decideOrigin,
  isSameOrigin,
  type StreamOrigin,
} from '@wisteriadeal/decisions';
import type {KeyedRecord} from '@wisteriadeal/platform';
import {EventLog, SystemClock} from '@wisteriadeal/runtime';
import {
  LogLevel,
  type PastOrigins,
  type StreamOriginAnswer,
  type StreamOriginQuery,
  type StreamOriginRecord,
} from '@wisteriadeal/schema';

import {
  RouteKind,
  type FleetConfiguration,
  type Route,
} from '../configuration.js';
import type {Dialect} from '../dialect.js';
import {decodePast} from '../stream-origins/origin-messages.js';
import {EndpointConnectionPool} from '../endpoint-connection-pool.js';
import {EndpointDirectory} from '../endpoint-directory.js';
import type {EndpointEntry} from '../endpoint-entry.js';
import {DirectPath} from '../endpoint-path.js';
import {StoreHealth} from '../store-health.js';
import {
  OriginWatch,
  StreamOriginPeers,
  StreamOriginRegistry,
  type OriginQuery,
} from '../stream-origins/index.js';

/** Longer than a stream may last, so that hosts have watched for long enough. */
export const WATCH_MILLISECONDS = 60_000;
const TIMEOUT_MILLISECONDS = 15_000;
const KEEP_MILLISECONDS = 30_000;
/** Messages have been delivered by then. */
const SETTLE_MILLISECONDS = 6;
const REQUEST = {host: 'shop.example', path: '/stream/'};

const PATH = new DirectPath(
  new EndpointConnectionPool(),
  new DataCenterCircuitBreaker('a'),
);

/** A clock that a test sets. */
export class SetClock extends SystemClock {
  now = 1_000_000;

  override monotonicMilliseconds(): number {
    return this.now;
  }
}

/** Hosts that tell each other of the origins of streams, before a list of endpoints. */
export class OriginFleet {
  readonly clock = new SetClock();
  readonly entries = new Map<string, EndpointEntry>();
  /** The log of the list; a record's place is its offset. */
  readonly log: KeyedRecord[] = [];
  private readonly everListed = new Map<string, EndpointEntry>();
  readonly hosts: OriginHost[] = [];
  /** Pairs of addresses that can't reach each other. */
  readonly cuts = new Set<string>();
  /** Addresses of hosts that can't reach the store. */
  readonly withoutStore = new Set<string>();
  /** Addresses of hosts that can read the list, but no configuration. */
  readonly withoutConfiguration = new Set<string>();
  messageCount = 0;
  services: readonly string[] = ['models'];
  version = 1;
  private started = 0;

  constructor(dataCenters: readonly string[]) {
    dataCenters.forEach((dataCenter, index) => {
      this.hosts.push(new OriginHost(this, index, dataCenter));
    });
  }

  /** Lists another endpoint. */
  addEndpoint(service: string, build: string): string {
    const id = `i-${++this.started}`;
    const entry = {
      id,
      service,
      build,
      address: '10.0.0.1',
      port: 1,
      dataCenter: 'a',
      slots: 8,
      isLeaving: false,
      bornAt: this.started,
      sequence: undefined,
      coldMilliseconds: undefined,
      ignoredFields: [],
    };
    this.entries.set(id, entry);
    this.everListed.set(id, entry);
    this.append(id, new Uint8Array());
    return id;
  }

  /** Lists another start of an endpoint, with another build. */
  restartEndpoint(
    id: string,
    build: string,
    bornAt: number = ++this.started,
  ): void {
    const before = this.entryOf(id);
    if (before === undefined) {
      throw new RangeError(`no endpoint ${id}`);
    }
    const entry = {...before, build, bornAt};
    this.entries.set(id, entry);
    this.everListed.set(id, entry);
    this.append(id, new Uint8Array());
  }

  /** Removes an endpoint from the list. */
  removeEndpoint(id: string): void {
    this.entries.delete(id);
    this.append(id, undefined);
  }

  /** The entry of an endpoint that is or was listed. */
  entryOf(id: string): EndpointEntry | undefined {
    return this.everListed.get(id);
  }

  /** The newest record of each listed endpoint. */
  get newestRecords(): readonly KeyedRecord[] {
    return this.log.filter(
      ({key, value, offset}) =>
        value !== undefined &&
        this.log.findLastIndex(record => record.key === key) === offset,
    );
  }

  private append(key: string, value: Uint8Array | undefined): void {
    this.log.push({key, value, offset: this.log.length});
  }

  /** Lets hosts read the list and the configuration. */
  read(hosts: readonly OriginHost[] = this.hosts): void {
    for (const host of hosts) {
      if (!this.withoutStore.has(host.address)) {
        host.read();
      }
    }
  }

  /** Cuts hosts off from the store and from the other hosts, but not from each other. */
  isolate(...hosts: readonly OriginHost[]): void {
    for (const host of hosts) {
      this.withoutStore.add(host.address);
      for (const other of this.hosts) {
        if (!hosts.includes(other)) {
          this.cuts.add(`${host.address} ${other.address}`);
        }
      }
    }
  }

  /** Ends all cuts. */
  heal(): void {
    this.cuts.clear();
    this.withoutStore.clear();
    this.withoutConfiguration.clear();
  }

  /** Replaces a host by one that knows nothing. */
  restart(index: number): void {
    const old = this.hostAt(index);
    old.isLost = true;
    this.hosts[index] = new OriginHost(this, index, old.dataCenter);
  }

  hostAt(index: number): OriginHost {
    const host = this.hosts[index];
    if (host === undefined) {
      throw new RangeError(`no host ${index}`);
    }
    return host;
  }

  /** Resolves when messages have been delivered. */
  async settle(): Promise<void> {
    await new Promise(resolve => setTimeout(resolve, SETTLE_MILLISECONDS));
  }

  get configuration(): FleetConfiguration {
    const route = {
      ...REQUEST,
      name: 'r',
      pathPrefix: '/stream/',
      kind: RouteKind.Streaming,
      resumable: true,
      services: this.services.map(service => ({service, weight: 1})),
      timeoutMilliseconds: TIMEOUT_MILLISECONDS,
    } as unknown as Route;
    return {
      version: this.version,
      routes: [route],
    } as unknown as FleetConfiguration;
  }
}

/** One host of the fleet. */
export class OriginHost extends StreamOriginPeers {
  readonly registry: StreamOriginRegistry;
  readonly address: string;
  isLost = false;
  /** Whether it has read of other hosts. */
  knowsOthers = true;
  private readonly directory: EndpointDirectory;
  private readonly watch: OriginWatch;
  private position: number | undefined;
  private version = 0;

  constructor(
    private readonly fleet: OriginFleet,
    index: number,
    readonly dataCenter: string,
  ) {
    super();
    this.address = `10.0.0.${index}:7200`;
    const events = EventLog.create(LogLevel.ERROR, {}, () => undefined);
    const {clock} = fleet;
    const dialect = {
      endpointEntry: (id: string) => fleet.entryOf(id),
    } as unknown as Dialect;
    this.directory = new EndpointDirectory(
      dialect,
      new StoreHealth('endpoints', events, {}),
      clock,
      events,
      {drainMilliseconds: 2_000, isLinkCongested: () => false},
      {
        isEvacuated: () => false,
        coldStartMilliseconds: () => 0,
        onFieldsIgnored: () => undefined,
      },
    );
    this.watch = new OriginWatch(this.directory, clock);
    this.registry = new StreamOriginRegistry({
      peers: this,
      watch: this.watch,
      directory: this.directory,
      clock,
      events,
      dataCenter,
      ownAddress: this.address,
      otherHosts: () =>
        fleet.hosts.filter(
          host => this.knowsOthers && host.address !== this.address,
        ),
      listPosition: () => this.position ?? 0,
      isConfigurationReadable: () =>
        !fleet.withoutConfiguration.has(this.address),
      readChanges: () => Promise.resolve(this.readChanges()),
    });
    this.read();
  }

  /** Reads the whole list, as after changes that the store has dropped. */
  readAnew(): void {
    this.position = undefined;
    this.read();
  }

  /** Asks another host what it saw before this one started. */
  async learnFrom(address: string): Promise<void> {
    this.watch.learn(decodePast(await this.past(address)));
  }

  /** Reads the list and the configuration. */
  read(): void {
    const mayRead = !this.fleet.withoutConfiguration.has(this.address);
    if (mayRead && this.version !== this.fleet.version) {
      const areMissed =
        this.version > 0 && this.fleet.version > this.version + 1;
      this.version = this.fleet.version;
      this.watch.configurationAdopted(this.fleet.configuration);
      if (areMissed) {
        this.watch.missedConfigurations();
      }
    }
    this.readList();
  }

  private readList(): void {
    const {log, newestRecords, clock} = this.fleet;
    if (this.position === undefined) {
      this.directory.replaced(newestRecords, log.length);
    } else {
      for (const record of log.slice(this.position)) {
        this.directory.changed(record);
      }
    }
    this.position = log.length;
    this.directory.caughtUp(clock.now);
  }

  /** Reads what can be read. */
  private readChanges(): boolean {
    const {withoutStore, withoutConfiguration} = this.fleet;
    if (withoutStore.has(this.address)) {
      return false;
    }
    this.read();
    return !withoutConfiguration.has(this.address);
  }

  /** Open endpoints, by this host's list. */
  endpointsOf(service: string): readonly EndpointEntry[] {
    return this.directory.openEndpoints(service).map(({entry}) => entry);
  }

  /**
   * Records the first event of a stream.
   *
   * @param id Endpoint that sent it; the first one of the origin if not given.
   */
  began(stream: string, origin: StreamOrigin, id?: string): void {
    const sentAt = this.fleet.clock.now;
    const endpoint = this.directory.all.find(
      ({entry}) => isSameOrigin(entry, origin) && (id ?? entry.id) === entry.id,
    );
    if (endpoint === undefined) {
      throw new RangeError(`no endpoint of ${origin.build}`);
    }
    const keptUntil = sentAt + KEEP_MILLISECONDS;
    this.registry.began(
      {...REQUEST, stream},
      {endpoint, path: PATH, openSince: sentAt},
      keptUntil,
    );
  }

  /** Finds out what began a stream. */
  async originOf(stream: string): Promise<StreamOrigin | undefined> {
    return decideOrigin(await this.registry.find({...REQUEST, stream}));
  }

  override record(
    address: string,
    records: readonly StreamOriginRecord[],
  ): Promise<void> {
    this.reach(address).registry.receive(records);
    return Promise.resolve();
  }

  override find(
    address: string,
    query: OriginQuery,
  ): Promise<StreamOriginAnswer> {
    const host = this.reach(address);
    return Promise.resolve(host.registry.answer(query as StreamOriginQuery));
  }

  override past(address: string): Promise<PastOrigins> {
    return Promise.resolve(this.reach(address).registry.past());
  }

  override close(): void {
    // Nothing is open.
  }

  private reach(address: string): OriginHost {
    this.fleet.messageCount++;
    const host = this.fleet.hosts.find(other => other.address === address);
    const isCut = [
      `${this.address} ${address}`,
      `${address} ${this.address}`,
    ].some(pair => this.fleet.cuts.has(pair));
    if (host === undefined || this.isLost || isCut) {
      throw new Error(`${address} does not answer`);
    }
    return host;
  }
}
