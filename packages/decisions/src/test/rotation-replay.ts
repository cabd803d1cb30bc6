import {RotationState, type RotationPolicy} from '../rotation-policy.js';

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

/**
 * An organisation whose callers the load balancer may send to a single host.
 */
export interface ReplayedOrganisation {
  readonly name: string;
  /** Requests per second, independent of the response times. */
  readonly rate: number;
  /** Whether all callers have the same hash, so that one host receives them. */
  readonly isOneHash: boolean;
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

class Host {
  readonly queue: Waiting[] = [];
  isOverloaded = false;
  connections = 0;
  notReadyProbes = 0;
  private capacityCredit = 0;

  constructor(readonly policy: RotationPolicy) {}

  get isInRotation(): boolean {
    return this.notReadyProbes < REMOVAL_PROBES;
  }

  /** Removes and returns the requests that the link has carried in a step. */
  takeServed(): readonly Waiting[] {
    this.capacityCredit += (CAPACITY * STEP_MILLISECONDS) / 1_000;
    const count = Math.min(this.queue.length, Math.floor(this.capacityCredit));
    this.capacityCredit =
      this.queue.length > count ? this.capacityCredit - count : 0;
    return this.queue.splice(0, count);
  }

  probe(now: number): void {
    const {acceptsConnections} = this.policy;
    this.notReadyProbes = acceptsConnections ? 0 : this.notReadyProbes + 1;
    this.policy.recordProbe(now, acceptsConnections);
  }

  observe(now: number): void {
    const {length} = this.queue;
    if (length > FULL_QUEUE) {
      this.isOverloaded = true;
    } else if (length < FULL_QUEUE / 2) {
      this.isOverloaded = false;
    }
    const {isOverloaded, connections} = this;
    this.policy.observe(now, {isOverloaded, connections});
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

  constructor(hosts: number, createPolicy: () => RotationPolicy) {
    this.hosts = Array.from({length: hosts}, () => new Host(createPolicy()));
  }

  /** Adds the callers of an organisation, or changes their rate. */
  add(organisation: ReplayedOrganisation): this {
    const idle = this.callers.get(organisation.name)?.idle ?? [];
    this.callers.set(organisation.name, {
      ...organisation,
      idle,
      due: 0,
      hash: 0,
    });
    return this;
  }

  /** Runs for the given time and resets the counts first. */
  run(seconds: number): this {
    this.shares = new Map();
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
  }

  private answer(host: Host, index: number, waiting: Waiting): void {
    const {callers, sentAt, isRetry} = waiting;
    if (!host.policy.closesConnections) {
      callers.idle.push(index);
    }
    if (this.now - sentAt <= MAXIMUM_WAIT_MILLISECONDS) {
      this.shareOf(callers.name).served++;
    } else {
      this.retry(callers, isRetry);
    }
  }

  private send(
    callers: Callers,
    connection: number | undefined,
    isRetry: boolean,
  ): void {
    const host =
      this.hosts[connection ?? this.openConnection(callers, isRetry)];
    if (host === undefined || host.queue.length >= MAXIMUM_QUEUE) {
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
