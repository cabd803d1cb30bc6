import {
  EndpointCircuitBreaker,
  EndpointWarmth,
  EndpointWork,
  type StreamOrigin,
} from '@wisteriadeal/decisions';

import type {EndpointEntry} from './endpoint-entry.js';
import {StatedConditions} from './endpoint-statements/stated-conditions.js';

/** Longest time from the start of an endpoint to its entry, milliseconds. */
const ENTRY_MILLISECONDS = 500;

/** An endpoint, and this host's observations of it. */
export class KnownEndpoint {
  /** For connections that this host opens itself. */
  breaker: EndpointCircuitBreaker;
  /**
   * For connections through other hosts. What the host sees over a path that
   * it has lost says nothing of the endpoint.
   */
  readonly relayedBreaker = new EndpointCircuitBreaker();
  /** Number of this host's requests in progress at the endpoint. */
  load = 0;
  /** The work of these requests, and what the host believes of the endpoint's speed. */
  readonly work = new EndpointWork();
  /**
   * When the latest request was sent whose answer kept the connection open, on
   * the monotonic clock, milliseconds.
   */
  confirmedOpenAt = -Infinity;

  /** Whether the list has a start of the endpoint with another build in its place. */
  isReplacedByOther = false;
  /** Whether the list has another start of the endpoint with its build in its place. */
  isReplacedByEqual = false;
  /** The list named this start of the endpoint at this time; monotonic clock, milliseconds. */
  private listedAt = -Infinity;
  /** The endpoint was at work at this time; monotonic clock, milliseconds. */
  private aliveAt = -Infinity;
  /** When it was seen to have ended, after `aliveAt`. */
  private endedAt: number | undefined;
  /** When it had ended all connections that this host had to it, after `aliveAt`. */
  private lostAt: number | undefined;

  /** Whether it may be cold, after a start that the list may not tell of. */
  readonly warmth: EndpointWarmth;

  /**
   * @param onTrip Called when the circuit breaker opens after a success.
   * @param coldStartMilliseconds Returns how long it is cold after a start.
   * @param conditions What it has said of itself.
   */
  constructor(
    public entry: EndpointEntry,
    private readonly onTrip: () => void = () => undefined,
    coldStartMilliseconds: () => number = () => 0,
    readonly conditions = new StatedConditions(),
  ) {
    this.breaker = new EndpointCircuitBreaker(onTrip);
    this.warmth = new EndpointWarmth(coldStartMilliseconds);
  }

  /** Forgets what was observed over this host's own path. */
  resetBreaker(): void {
    this.breaker = new EndpointCircuitBreaker(this.onTrip);
  }

  /** Records that it asks for rest. What was seen of its speed does not outlast that. */
  askedForRest(milliseconds: number, now: number): void {
    this.conditions.rest.asked(milliseconds, now);
    this.work.forgetSpeed();
  }

  /**
   * Records that the answer to a request sent at this time kept the connection
   * open.
   */
  confirmOpen(sentAt: number): void {
    this.confirmedOpenAt = Math.max(this.confirmedOpenAt, sentAt);
  }

  /** Records that the endpoint was at work at a time. */
  wasAlive(at: number): void {
    this.warmth.lived(at);
    this.aliveAt = Math.max(this.aliveAt, at);
    if (this.endedAt !== undefined && this.endedAt < at) {
      this.endedAt = undefined;
    }
    if (this.lostAt !== undefined && this.lostAt < at) {
      this.lostAt = undefined;
    }
  }

  /**
   * Time from the latest moment at which the endpoint was surely at work, milliseconds;
   * undefined if none is known.
   */
  heartbeatAge(now: number): number | undefined {
    return this.aliveAt === -Infinity ? undefined : now - this.aliveAt;
  }

  /** Records that the list named this start of the endpoint at a time. */
  wasListed(at: number): void {
    this.listedAt = Math.max(this.listedAt, at);
  }

  /** Records that the endpoint's process was seen to have ended. */
  hasEnded(at: number): void {
    this.warmth.refused(at);
    this.endedAt ??= at;
  }

  /** Records that the endpoint has ended all connections that this host had to it. */
  connectionsLost(at: number): void {
    this.lostAt ??= at;
  }

  /**
   * What answered at the endpoint's address at a time. Undefined if it may have been
   * another build: this host had seen the endpoint end, and nothing shows that it
   * was still this one.
   */
  originAt(at: number): StreamOrigin | undefined {
    const mayHaveEnded =
      at > this.aliveAt && this.endedAt !== undefined && this.endedAt <= at;
    return mayHaveEnded && !this.isReplacedByEqual
      ? undefined
      : this.listedOriginAt(at);
  }

  /**
   * Whether this start of the endpoint, or one with its build, answered at its address
   * at a time: it has renewed its entry since, or the list, which was read since, names
   * no other start. After the loss of all connections, another one may have just begun.
   */
  isConfirmedAt(at: number): boolean {
    const mayHaveStartedAgain = this.lostAt !== undefined && this.lostAt <= at;
    const entryTime = mayHaveStartedAgain ? ENTRY_MILLISECONDS : 0;
    return (
      this.isReplacedByEqual ||
      at <= Math.max(this.aliveAt, this.listedAt - entryTime)
    );
  }

  /**
   * What answered at the endpoint's address at a time, by the list alone. Undefined
   * if the list has had a start of it with another build since.
   */
  listedOriginAt(at: number): StreamOrigin | undefined {
    const {service, build} = this.entry;
    return this.isReplacedByOther && at > this.aliveAt
      ? undefined
      : {service, build};
  }

  /** Identifies one run of the endpoint; it may start again under its identifier. */
  get incarnation(): string {
    return `${this.entry.id}/${this.entry.bornAt}`;
  }

  /** Whether the list has another start of the endpoint, which knows nothing of this one. */
  get isReplaced(): boolean {
    return this.isReplacedByOther || this.isReplacedByEqual;
  }

  /** Whether it is about to leave, by the list or by one of its answers. */
  get isLeaving(): boolean {
    return this.entry.isLeaving || this.conditions.isLeaving;
  }

  /** Whether the endpoint itself accepts new requests. */
  get isOpen(): boolean {
    return !this.isLeaving;
  }
}
