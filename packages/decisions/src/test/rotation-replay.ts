import {RotationState, type RotationPolicy} from '../rotation-policy.js';
import {HeaviestCallers, LoopSaturation} from '../rotation/index.js';

const STEP_MILLISECONDS = 50;
const PROBE_MILLISECONDS = 1_000;
const REMOVAL_PROBES = 2;
/** Capacity of a host in requests per second. */
const CAPACITY = 100;
/**
 * Maximum number of requests waiting at a host's link; further connections are
 * dropped.
 */
const MAXIMUM_QUEUE = 100;
/**
 * A request that waited longer is refused, because the host's own calls wait
 * just as long.
 */
const MAXIMUM_WAIT_MILLISECONDS = 600;
/**
 * A host becomes overloaded above this number of waiting requests, and recovers
 * below half of it.
 */
const FULL_QUEUE = 20;
/** Maximum number of waiting requests at a host that refuses what would be late. */
const MAXIMUM_USEFUL_QUEUE = 50;
/** Cost of a refusal as a share of the cost of serving a request. */
const REFUSAL_COST = 0.4;
/** Event loop turns from the arrival of a request to its answer. */
const TURNS_PER_REQUEST = 3;
const GOLDEN_RATIO_FRACTION = 0.618;

/**
 * An organisation whose callers the load balancer may send to a single host.
 */
export interface ReplayedOrganisation {
  readonly name: string;
  /** Requests per second, independent of the response times. */
  readonly rate: number;
  /** Whether all callers have the same hash, so that one host receives them. */
  readonly isOneHash: boolean;
  /** Hash of the first caller; 0 if not given. */
  readonly firstHash?: number;
}

/** An organisation's callers, with their idle connections by host. */
interface Callers extends ReplayedOrganisation {
  readonly idle: number[];
  due: number;
  hash: number;
}

interface Waiting {
  readonly callers: Callers;
  readonly sentAt: number;
  readonly isRetry: boolean;
}

/** How a replayed host finds out that it is overloaded. */
export abstract class OverloadSignal {
  abstract isOverloaded(
    now: number,
    queueLength: number,
    idleMilliseconds: number,
  ): boolean;
}

/** By what waits at its link. */
export class QueueSignal extends OverloadSignal {
  private wasOverloaded = false;

  override isOverloaded(_now: number, queueLength: number): boolean {
    if (queueLength > FULL_QUEUE) {
      this.wasOverloaded = true;
    } else if (queueLength < FULL_QUEUE / 2) {
      this.wasOverloaded = false;
    }
    return this.wasOverloaded;
  }
}

/** By its event loop, each turn of which handles a step of all that waits. */
export class LoopSignal extends OverloadSignal {
  private readonly saturation = new LoopSaturation();

  override isOverloaded(
    now: number,
    queueLength: number,
    idleMilliseconds: number,
  ): boolean {
    const turnMilliseconds =
      (queueLength * 1_000) / CAPACITY / TURNS_PER_REQUEST;
    this.saturation.observe(now, {idleMilliseconds, turnMilliseconds});
    return this.saturation.isSaturated;
  }
}

/** Its link is free, and nothing else is observed. */
export class NoSignal extends OverloadSignal {
  override isOverloaded(): boolean {
    return false;
  }
}

/** Differences between the clocks of hosts, in milliseconds. */
const MAXIMUM_CLOCK_DIFFERENCE_MILLISECONDS = 100;

/** How a replayed host finds out how long it may be out of the rotation. */
export type ReplayedAllowance = (
  timeOfDay: number,
  host: string,
  hosts: readonly string[],
) => number;

/** How a data centre differs from the default. */
export interface ReplayOptions {
  /** By default a host may always be out of the rotation. */
  readonly allowance: ReplayedAllowance;
  /** Whether hosts refuse requests that would be late; else connections are dropped. */
  readonly isRefusing: boolean;
  /** Whether the connections of the heaviest callers are closed first. */
  readonly closesHeaviestFirst: boolean;
}

const DEFAULT_OPTIONS: ReplayOptions = {
  allowance: () => Infinity,
  isRefusing: false,
  closesHeaviestFirst: false,
};

class Host {
  readonly queue: Waiting[] = [];
  /** Closed connections by organisation. */
  readonly closed = new Map<string, number>();
  stateChanges = 0;
  /** Shortest time for which the host was ready or not ready. */
  shortestMilliseconds = Infinity;
  connections = 0;
  private readinessSince = -Infinity;
  private readonly heaviest = new HeaviestCallers();
  notReadyProbes = 0;
  private capacityCredit = 0;
  private idleMilliseconds = 0;

  constructor(
    readonly policy: RotationPolicy,
    private readonly signal: OverloadSignal,
    private readonly options: ReplayOptions,
    private readonly maximumAbsence: (now: number) => number,
  ) {}

  get isInRotation(): boolean {
    return this.notReadyProbes < REMOVAL_PROBES;
  }

  /** Refuses a request if too many wait. */
  refuses(): boolean {
    const {isRefusing} = this.options;
    const maximum = isRefusing ? MAXIMUM_USEFUL_QUEUE : MAXIMUM_QUEUE;
    if (this.queue.length < maximum) {
      return false;
    }
    this.capacityCredit -= isRefusing ? REFUSAL_COST : 0;
    return true;
  }

  /** Removes and returns the requests that the host has served in a step. */
  takeServed(): readonly Waiting[] {
    this.capacityCredit += (CAPACITY * STEP_MILLISECONDS) / 1_000;
    const count = Math.min(this.queue.length, Math.floor(this.capacityCredit));
    const left = this.capacityCredit - count;
    this.capacityCredit = this.queue.length > count ? left : 0;
    this.idleMilliseconds +=
      ((this.capacityCredit === left ? 0 : left) * 1_000) / CAPACITY;
    return this.queue.splice(0, count);
  }

  /** Whether the connection closes after an answer to this organisation. */
  closes(organisation: string, now: number, fraction: number): boolean {
    const share = this.policy.closingShare(now);
    const {closesHeaviestFirst} = this.options;
    this.heaviest.record(organisation, now);
    const closes = closesHeaviestFirst
      ? this.heaviest.closes(organisation, share, fraction, now)
      : fraction < share;
    this.closed.set(
      organisation,
      (this.closed.get(organisation) ?? 0) + Number(closes),
    );
    return closes;
  }

  probe(now: number): void {
    const {acceptsConnections} = this.policy;
    this.notReadyProbes = acceptsConnections ? 0 : this.notReadyProbes + 1;
    this.policy.recordProbe(now, acceptsConnections);
  }

  observe(now: number): void {
    const isOverloaded = this.signal.isOverloaded(
      now,
      this.queue.length,
      this.idleMilliseconds,
    );
    const {state, acceptsConnections: wasReady} = this.policy;
    this.policy.observe(now, {
      isOverloaded,
      connections: this.connections,
      maximumAbsenceMilliseconds: this.maximumAbsence(now),
    });
    this.stateChanges += this.policy.state === state ? 0 : 1;
    if (this.policy.acceptsConnections !== wasReady) {
      this.shortestMilliseconds = Math.min(
        this.shortestMilliseconds,
        now - this.readinessSince,
      );
      this.readinessSince = now;
    }
  }
}

/** Counts the sent and served requests of an organisation. */
export class ServedShare {
  sent = 0;
  served = 0;

  get share(): number {
    return this.sent === 0 ? 1 : this.served / this.sent;
  }
}

/**
 * Simulates hosts behind a load balancer that sends callers with the same hash
 * to the same host.
 */
export class RotationReplay {
  private readonly hosts: readonly Host[];
  private readonly callers = new Map<string, Callers>();
  private shares = new Map<string, ServedShare>();
  private now = 0;
  private fraction = 0;
  private mostAbsent = 0;

  constructor(
    hosts: number,
    createPolicy: () => RotationPolicy,
    createSignal: () => OverloadSignal = () => new QueueSignal(),
    options = DEFAULT_OPTIONS,
  ) {
    const names = Array.from({length: hosts}, (_, index) => `host-${index}`);
    this.hosts = names.map((name, index) => {
      const clockDifference =
        (index % 2) * MAXIMUM_CLOCK_DIFFERENCE_MILLISECONDS;
      return new Host(createPolicy(), createSignal(), options, now =>
        options.allowance(now + clockDifference, name, names),
      );
    });
  }

  /** Adds the callers of an organisation, or changes their rate. */
  add(organisation: ReplayedOrganisation): this {
    const idle = this.callers.get(organisation.name)?.idle ?? [];
    this.callers.set(organisation.name, {
      ...organisation,
      idle,
      due: 0,
      hash: organisation.firstHash ?? 0,
    });
    return this;
  }

  /** Runs for the given time and resets the counts first. */
  run(seconds: number): this {
    this.shares = new Map();
    this.mostAbsent = 0;
    const until = this.now + seconds * 1_000;
    while (this.now < until) {
      this.now += STEP_MILLISECONDS;
      this.step();
    }
    return this;
  }

  /** Returns the counts of the last run. */
  shareOf(organisation: string): ServedShare {
    let share = this.shares.get(organisation);
    if (share === undefined) {
      share = new ServedShare();
      this.shares.set(organisation, share);
    }
    return share;
  }

  /** Number of hosts that accept new connections. */
  get acceptingHosts(): number {
    return this.hosts.filter(({policy}) => policy.acceptsConnections).length;
  }

  /** Largest number of hosts that were out of the rotation at once in the last run. */
  get maximumAbsentHosts(): number {
    return this.mostAbsent;
  }

  /** Connections of an organisation that hosts have closed since the start. */
  closedConnections(organisation: string): number {
    return this.hosts.reduce(
      (sum, {closed}) => sum + (closed.get(organisation) ?? 0),
      0,
    );
  }

  /** Shortest time between two changes of a host's readiness, in milliseconds. */
  get shortestReadiness(): number {
    return Math.min(
      ...this.hosts.map(({shortestMilliseconds}) => shortestMilliseconds),
    );
  }

  /** Changes of rotation states by all hosts since the start. */
  get stateChanges(): number {
    return this.hosts.reduce((sum, {stateChanges}) => sum + stateChanges, 0);
  }

  get states(): readonly RotationState[] {
    return this.hosts.map(({policy}) => policy.state);
  }

  private step(): void {
    this.hosts.forEach((host, index) => {
      for (const waiting of host.takeServed()) {
        this.answer(host, index, waiting);
      }
    });
    for (const callers of this.callers.values()) {
      callers.due += (callers.rate * STEP_MILLISECONDS) / 1_000;
      for (; callers.due >= 1; callers.due--) {
        this.shareOf(callers.name).sent++;
        this.send(callers, callers.idle.pop(), false);
      }
    }
    for (const host of this.hosts) {
      if (this.now % PROBE_MILLISECONDS === 0) {
        host.probe(this.now);
      }
      host.observe(this.now);
    }
    const absent = this.hosts.filter(({isInRotation}) => !isInRotation).length;
    this.mostAbsent = Math.max(this.mostAbsent, absent);
  }

  private answer(host: Host, index: number, waiting: Waiting): void {
    const {callers, sentAt, isRetry} = waiting;
    if (!host.closes(callers.name, this.now, this.nextFraction())) {
      callers.idle.push(index);
    }
    if (this.now - sentAt <= MAXIMUM_WAIT_MILLISECONDS) {
      this.shareOf(callers.name).served++;
    } else {
      this.retry(callers, isRetry);
    }
  }

  /** A deterministic sequence that is spread evenly over 0 to 1. */
  private nextFraction(): number {
    this.fraction = (this.fraction + GOLDEN_RATIO_FRACTION) % 1;
    return this.fraction;
  }

  private send(
    callers: Callers,
    connection: number | undefined,
    isRetry: boolean,
  ): void {
    const host =
      this.hosts[connection ?? this.openConnection(callers, isRetry)];
    if (host === undefined || host.refuses()) {
      this.retry(callers, isRetry);
      return;
    }
    host.queue.push({callers, sentAt: this.now, isRetry});
  }

  private retry(callers: Callers, isRetry: boolean): void {
    if (!isRetry) {
      this.send(callers, undefined, true);
    }
  }

  /** A retry reaches a different host than the first attempt. */
  private openConnection(callers: Callers, isRetry: boolean): number {
    callers.hash += callers.isOneHash ? 0 : 1;
    return this.chooseHost(callers.hash + (isRetry ? 1 : 0));
  }

  private chooseHost(hash: number): number {
    const all = this.hosts.map((_, index) => index);
    const ready = all.filter(index => this.hosts[index]?.isInRotation === true);
    const used = ready.length * 2 < all.length ? all : ready;
    const chosen = used[hash % used.length] ?? 0;
    const host = this.hosts[chosen];
    if (host !== undefined) {
      host.connections++;
    }
    return chosen;
  }
}
