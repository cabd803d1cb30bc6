import {
  HostShortage,
  hostShortageOf,
  isCallTimeout,
  type HostLink,
} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';

import type {LoopLag} from './loop-lag.js';

/**
 * The store counts as unresponsive once a call has waited this long. A healthy store
 * answers in some milliseconds.
 */
const MAXIMUM_RESPONSIVE_MILLISECONDS = 250;
/** Minimum time before a call counts as late, however fast the store is. */
const MINIMUM_LATE_MILLISECONDS = 60;
/** A call is late after this multiple of the typical time. */
const LATE_FACTOR = 3;
/** Number of calls over which the typical time decreases; one call increases it. */
const SMOOTHING_CALLS = 8;
/** An exchange with the store is an append and a read. */
const CALLS_PER_EXCHANGE = 2;
/** Minimum interval between log lines while calls fail. */
const LOG_INTERVAL_MILLISECONDS = 2_000;

/** Delays of this host, which make the store's answers late. */
export interface HostDelays {
  /** Lag of the event loop. It is excluded from the time that a call has waited. */
  readonly lag?: LoopLag;
  /**
   * This host's link. Its delay is excluded from the time that a call has waited; a
   * timeout while it is congested is not an outage.
   */
  readonly link?: HostLink;
}

/**
 * Tracks whether one topic of the store answers this host. The store may be down for only
 * some of its partitions. A shared state for all topics would change with every answer,
 * and requests would be refused for lack of budget although the budgets' topic answers.
 */
export class StoreHealth {
  private lastAnswerAt: number | undefined;
  private failingSince: number | undefined;
  private failures = 0;
  private loggedAt = -Infinity;
  private hasOutage = false;
  private lastOutageEndedAt = -Infinity;
  private calledAt: number | undefined;
  private typicalMilliseconds = 0;

  /**
   * @param topic Name of the topic, for logs.
   * @param delays This host's own delays, which are not attributed to the store.
   */
  constructor(
    private readonly topic: string,
    private readonly events: EventLog,
    private readonly delays: HostDelays = {},
  ) {}

  /** True while calls fail, until one is answered. */
  get isUnavailable(): boolean {
    return this.failingSince !== undefined;
  }

  /**
   * True while the store itself fails, or no route leads there. Calls that time out while
   * this host's link is congested, or whose connects this host could not begin for want of
   * a resource, do not start an outage. Otherwise endpoints that left during that time
   * would be kept although they are no longer listed, and would get requests.
   */
  get isOutage(): boolean {
    return this.hasOutage;
  }

  /** Milliseconds since the last outage ended; 0 during one, infinite before any. */
  millisecondsSinceOutage(now: number): number {
    return this.hasOutage ? 0 : now - this.lastOutageEndedAt;
  }

  /** Milliseconds for which calls have failed; 0 while they are answered. */
  unavailableMilliseconds(now: number): number {
    return this.failingSince === undefined ? 0 : now - this.failingSince;
  }

  /** Age of the newest answer, milliseconds; infinite before any. */
  answerAgeMilliseconds(now: number): number {
    return this.lastAnswerAt === undefined ? Infinity : now - this.lastAnswerAt;
  }

  /** Delay of an exchange with the store by this host's own link, milliseconds. */
  get linkDelayMilliseconds(): number {
    return CALLS_PER_EXCHANGE * (this.delays.link?.delayMilliseconds ?? 0);
  }

  /** Records that a call was sent. */
  called(now: number): void {
    this.calledAt = now;
    this.delays.lag?.start(MAXIMUM_RESPONSIVE_MILLISECONDS);
  }

  /**
   * Whether the store answers without delay. When a data centre is partitioned without an
   * error, the first affected call times out a second later. If only failed calls
   * counted, requests would start during that second on tokens that do not come.
   */
  isResponsive(now: number): boolean {
    return (
      !this.isUnavailable &&
      this.lastAnswerAt !== undefined &&
      this.waitedMilliseconds(now) < MAXIMUM_RESPONSIVE_MILLISECONDS
    );
  }

  /**
   * Time until the newest call counts as late. The limit depends on the typical time of
   * answers at this host, which includes the delay of this process itself. The calls of
   * sixty busy hosts take 0.1 s. With a fixed limit each host would borrow from others
   * although the store is healthy, and would be busier still.
   *
   * @returns Milliseconds; 0 if the call is late or the store is unavailable.
   */
  millisecondsUntilLate(now: number): number {
    if (this.isUnavailable) {
      return 0;
    }
    const limit = Math.min(
      MAXIMUM_RESPONSIVE_MILLISECONDS,
      Math.max(
        MINIMUM_LATE_MILLISECONDS,
        LATE_FACTOR * this.typicalMilliseconds,
      ),
    );
    return Math.max(0, limit - this.waitedMilliseconds(now));
  }

  /** Records that a call was answered. */
  answered(now: number): void {
    this.delays.lag?.stop();
    if (this.calledAt !== undefined) {
      const took = now - this.calledAt;
      const change = took - this.typicalMilliseconds;
      this.typicalMilliseconds +=
        change > 0 ? change : change / SMOOTHING_CALLS;
    }
    this.calledAt = undefined;
    if (this.failingSince !== undefined) {
      this.events.info('store available again', {
        topic: this.topic,
        unavailableMilliseconds: Math.round(now - this.failingSince),
      });
      this.failingSince = undefined;
    }
    if (this.hasOutage) {
      this.hasOutage = false;
      this.lastOutageEndedAt = now;
    }
    this.lastAnswerAt = now;
  }

  /** Records that a call was refused or not answered. */
  failed(now: number, error: unknown): void {
    this.delays.lag?.stop();
    this.calledAt = undefined;
    const isLinkDelay =
      isCallTimeout(error) && this.delays.link?.isCongested === true;
    const shortage =
      error instanceof Error ? hostShortageOf(error.cause) : undefined;
    const isOwnFailure =
      shortage !== undefined && shortage !== HostShortage.Route;
    this.hasOutage ||= !isLinkDelay && !isOwnFailure;
    if (this.failingSince === undefined) {
      this.failingSince = now;
      this.failures = 1;
      this.loggedAt = now;
      this.events.warn('store unavailable', {
        topic: this.topic,
        reason: String(error),
        isLinkDelay,
        shortage,
      });
      return;
    }
    this.failures++;
    if (now - this.loggedAt >= LOG_INTERVAL_MILLISECONDS) {
      this.loggedAt = now;
      this.events.warn('store still unavailable', {
        topic: this.topic,
        unavailableMilliseconds: Math.round(this.unavailableMilliseconds(now)),
        failures: this.failures,
        reason: String(error),
        isLinkDelay,
        shortage,
      });
    }
  }

  /** Milliseconds that the newest call has waited, less this host's own delays. */
  private waitedMilliseconds(now: number): number {
    return this.calledAt === undefined
      ? 0
      : now -
          this.calledAt -
          (this.delays.lag?.blockedMilliseconds ?? 0) -
          this.linkDelayMilliseconds;
  }
}
