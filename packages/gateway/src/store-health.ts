import {isCallTimeout, type HostLink} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';

import type {LoopLag} from './loop-lag.js';

/** A store that is well answers in some milliseconds. */
const MAXIMUM_RESPONSIVE_MILLISECONDS = 250;
/** A call is not late before this, however fast the store is. */
const MINIMUM_LATE_MILLISECONDS = 60;
/** A call is late after so many times the usual. */
const LATE_FACTOR = 3;
/** Calls over which the usual time falls; it rises with one. */
const SMOOTHING_CALLS = 8;
/** An exchange with the store is an append and a read. */
const CALLS_PER_EXCHANGE = 2;
/** While calls fail this is told no more often. */
const LOG_INTERVAL_MILLISECONDS = 2_000;

/** Delays of this host itself, which make the store's answers late. */
export interface HostDelays {
  /** Of the event loop; excluded from the time that a call has waited. */
  readonly lag?: LoopLag;
  /**
   * Of this host. Its delay is excluded from the time that a call has waited; a timeout
   * while it is congested is no outage.
   */
  readonly link?: HostLink;
}

/**
 * Whether one topic of the store answers, as this host sees it. Load: the store is
 * down for some of its partitions only. Harm of one state for all topics: it changes
 * with every answer, and requests are refused for budget although the budgets' topic
 * answers.
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
   * @param topic What is followed, for logs.
   * @param delays Of this host; not attributed to the store.
   */
  constructor(
    private readonly topic: string,
    private readonly events: EventLog,
    private readonly delays: HostDelays = {},
  ) {}

  /** True while the newest calls fail. */
  get isAway(): boolean {
    return this.failingSince !== undefined;
  }

  /**
   * True while the store itself fails. Calls that time out while this host's link is
   * congested begin no outage: otherwise endpoints that left in that time would be kept
   * as lapsed, and would get requests.
   */
  get isOutage(): boolean {
    return this.hasOutage;
  }

  /** How long ago an outage ended; 0 during one, milliseconds. */
  sinceOutage(now: number): number {
    return this.hasOutage ? 0 : now - this.lastOutageEndedAt;
  }

  /** How long the calls have failed; 0 while they don't, milliseconds. */
  awayFor(now: number): number {
    return this.failingSince === undefined ? 0 : now - this.failingSince;
  }

  /** Age of the newest answer, milliseconds. */
  answerAge(now: number): number {
    return this.lastAnswerAt === undefined ? Infinity : now - this.lastAnswerAt;
  }

  /** How much longer an exchange takes for this host's own link, milliseconds. */
  get linkDelayMilliseconds(): number {
    return CALLS_PER_EXCHANGE * (this.delays.link?.delayMilliseconds ?? 0);
  }

  /** The newest call was made. */
  called(now: number): void {
    this.calledAt = now;
    this.delays.lag?.start(MAXIMUM_RESPONSIVE_MILLISECONDS);
  }

  /**
   * Whether answers come without delay. Load: a data centre is cut off in silence, and
   * the first call that shows it times out a second later. Harm of going by failed
   * calls alone: all that while requests begin on tokens that do not come.
   */
  isResponsive(now: number): boolean {
    return (
      !this.isAway &&
      this.lastAnswerAt !== undefined &&
      this.waitedMilliseconds(now) < MAXIMUM_RESPONSIVE_MILLISECONDS
    );
  }

  /**
   * Until the newest call is late by the usual time of answers here, which holds what
   * the process itself is late by. Load: sixty busy hosts, whose calls take 0.1 s. Harm
   * of a fixed limit: each host works around a store that is well, and is busier.
   *
   * @returns Milliseconds; 0 where it is late, or the store is away.
   */
  millisecondsUntilLate(now: number): number {
    if (this.isAway) {
      return 0;
    }
    const late = Math.min(
      MAXIMUM_RESPONSIVE_MILLISECONDS,
      Math.max(
        MINIMUM_LATE_MILLISECONDS,
        LATE_FACTOR * this.typicalMilliseconds,
      ),
    );
    return Math.max(0, late - this.waitedMilliseconds(now));
  }

  /** A call was answered. */
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
      this.events.info('store regained', {
        topic: this.topic,
        awayMilliseconds: Math.round(now - this.failingSince),
      });
      this.failingSince = undefined;
    }
    if (this.hasOutage) {
      this.hasOutage = false;
      this.lastOutageEndedAt = now;
    }
    this.lastAnswerAt = now;
  }

  /** A call was not answered, or refused. */
  failed(now: number, error: unknown): void {
    this.delays.lag?.stop();
    this.calledAt = undefined;
    const isLinkDelay =
      isCallTimeout(error) && this.delays.link?.isCongested === true;
    this.hasOutage ||= !isLinkDelay;
    if (this.failingSince === undefined) {
      this.failingSince = now;
      this.failures = 1;
      this.loggedAt = now;
      this.events.warn('store lost', {
        topic: this.topic,
        reason: String(error),
        isLinkDelay,
      });
      return;
    }
    this.failures++;
    if (now - this.loggedAt >= LOG_INTERVAL_MILLISECONDS) {
      this.loggedAt = now;
      this.events.warn('store still lost', {
        topic: this.topic,
        awayMilliseconds: Math.round(this.awayFor(now)),
        failures: this.failures,
        reason: String(error),
        isLinkDelay,
      });
    }
  }

  /** How long the newest call has waited, without this host's delays, milliseconds. */
  private waitedMilliseconds(now: number): number {
    return this.calledAt === undefined
      ? 0
      : now -
          this.calledAt -
          (this.delays.lag?.blockedMilliseconds ?? 0) -
          this.linkDelayMilliseconds;
  }
}
