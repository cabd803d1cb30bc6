import {RotationState, type RotationPolicy} from '../rotation-policy.js';

const STEP_MILLISECONDS = 50;
const PROBE_MILLISECONDS = 1_000;
const MISSED_PROBES = 2;
/** What a host carries, requests a second. */
const CAPACITY = 100;
/** Requests that wait at a host's link at the most; further connections are dropped. */
const LONGEST_QUEUE = 100;
/** A request that waited for longer is refused: the host's own calls wait as long. */
const LONGEST_WAIT_MILLISECONDS = 600;
/** A host is overloaded by more waiting requests than this, and no more below half. */
const FULL_QUEUE = 20;

/** An organisation whose callers the balancer may send to one host. */
export interface ReplayedOrganisation {
  readonly name: string;
  /** Requests a second, however slow the answers are. */
  readonly rate: number;
  /** All callers have one hash, so that one host gets them. */
  readonly isOneHash: boolean;
}

/** An organisation's callers and their idle connections, by host. */
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
  misses = 0;
  private credit = 0;

  constructor(readonly policy: RotationPolicy) {}

  get isInRotation(): boolean {
    return this.misses < MISSED_PROBES;
  }

  /** What its link has carried in a step. */
  carry(): readonly Waiting[] {
    this.credit += (CAPACITY * STEP_MILLISECONDS) / 1_000;
    const count = Math.min(this.queue.length, Math.floor(this.credit));
    this.credit = this.queue.length > count ? this.credit - count : 0;
    return this.queue.splice(0, count);
  }

  probe(now: number): void {
    const {takesConnections} = this.policy;
    this.misses = takesConnections ? 0 : this.misses + 1;
    this.policy.probed(now, takesConnections);
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

/** What became of an organisation's requests. */
export class ServedShare {
  sent = 0;
  served = 0;

  get share(): number {
    return this.sent === 0 ? 1 : this.served / this.sent;
  }
}

/** Hosts behind a balancer that keeps callers of one hash on one host. */
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

  /** Plays so long; shares are counted anew. */
  play(seconds: number): this {
    this.shares = new Map();
    const until = this.now + seconds * 1_000;
    while (this.now < until) {
      this.now += STEP_MILLISECONDS;
      this.step();
    }
    return this;
  }

  /** Shares of the last play. */
  of(organisation: string): ServedShare {
    let share = this.shares.get(organisation);
    if (share === undefined) {
      share = new ServedShare();
      this.shares.set(organisation, share);
    }
    return share;
  }

  /** Hosts that take new connections. */
  get taking(): number {
    return this.hosts.filter(({policy}) => policy.takesConnections).length;
  }

  /** States of all hosts. */
  get states(): readonly RotationState[] {
    return this.hosts.map(({policy}) => policy.state);
  }

  private step(): void {
    this.hosts.forEach((host, index) => {
      for (const waiting of host.carry()) {
        this.answer(host, index, waiting);
      }
    });
    for (const callers of this.callers.values()) {
      callers.due += (callers.rate * STEP_MILLISECONDS) / 1_000;
      for (; callers.due >= 1; callers.due--) {
        this.of(callers.name).sent++;
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
    if (!host.policy.endsConnections) {
      callers.idle.push(index);
    }
    if (this.now - sentAt <= LONGEST_WAIT_MILLISECONDS) {
      this.of(callers.name).served++;
    } else {
      this.retry(callers, isRetry);
    }
  }

  private send(
    callers: Callers,
    connection: number | undefined,
    isRetry: boolean,
  ): void {
    const host = this.hosts[connection ?? this.open(callers, isRetry)];
    if (host === undefined || host.queue.length >= LONGEST_QUEUE) {
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

  /** A retry reaches another host than a first try. */
  private open(callers: Callers, isRetry: boolean): number {
    callers.hash += callers.isOneHash ? 0 : 1;
    return this.choose(callers.hash + (isRetry ? 1 : 0));
  }

  private choose(hash: number): number {
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
