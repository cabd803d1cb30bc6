import {SpeedSource, type EndpointWork} from './endpoint-work.js';
import type {ServiceSpeed} from './service-speed.js';

/** Bounds of the factor that one observation shows. */
const MAXIMUM_LOG_SLOWNESS = Math.log(6);
/** The pace of a stream is observed over at least this time, milliseconds. */
const PACE_MILLISECONDS = 150;
const PACE_EVENTS = 3;
/** Weight of one such observation; those of a stream depend on each other. */
const PACE_WEIGHT = 0.5;

/** A request as work for its endpoint. */
export interface WorkSize {
  readonly dataCenter: string;
  /** Prompt tokens that the endpoint has to read at least. */
  readonly ownTokens: number;
  /** Prompt tokens that it reads where it doesn't have them in its cache. */
  readonly sharedTokens: number;
  /** Expected number of tokens to read. */
  readonly tokens: number;
  readonly isStream: boolean;
  /**
   * Whether it is the first one after a rest of its endpoint. It may have to wait for a
   * connection, so that its answer shows nothing of how fast the endpoint works.
   */
  readonly isTrial?: boolean;
  /** Time that the endpoint needs with it for all that the host sent there, milliseconds. */
  readonly sentMilliseconds: number;
}

/**
 * One request at its endpoint, from sending to its end, which shows how fast the
 * endpoint works.
 *
 * @example
 * ```ts
 * const work = new RequestWork(endpointWork, speed, size, now);
 * work.began(now + 30);
 * work.eventsReceived(1, now + 60);
 * work.ended(now + 900);
 * ```
 */
export class RequestWork {
  private readonly tokensAhead: number;
  private hasBegun = false;
  private hasEnded = false;
  private paceFrom: number | undefined;
  private events = 0;

  constructor(
    private readonly endpoint: EndpointWork,
    private readonly speed: ServiceSpeed,
    private readonly size: WorkSize,
    private readonly sentAt: number,
  ) {
    this.tokensAhead = endpoint.waitingTokens;
    endpoint.sentMilliseconds = size.sentMilliseconds;
    endpoint.add(this);
  }

  /** Expected number of prompt tokens to read. */
  get tokens(): number {
    return this.size.tokens;
  }

  /** Time since it was sent, in times that it should have taken at most to begin. */
  delay(now: number): number {
    return (now - this.sentAt) / this.latestBegin();
  }

  /** Records that the answer has begun. */
  began(now: number): void {
    if (this.hasBegun || this.hasEnded) {
      return;
    }
    this.hasBegun = true;
    this.endpoint.remove(this);
    this.endpoint.runningStreams += this.size.isStream ? 1 : 0;
    const milliseconds = Math.max(1, now - this.sentAt);
    const {ownTokens} = this.size;
    if (this.tokensAhead === 0) {
      this.speed.answerBegan(milliseconds, ownTokens, now);
    }
    this.observePart(milliseconds, now);
    const earliest = this.speed.beginMilliseconds(ownTokens);
    const latest = this.latestBegin();
    // Between these it is not known whether the endpoint was slow or read more tokens.
    const factor =
      milliseconds > latest
        ? milliseconds / latest
        : Math.min(1, milliseconds / earliest);
    this.observe(factor, 1, SpeedSource.FirstEvent, now);
  }

  /** Records events of the stream that arrived together. */
  eventsReceived(count: number, now: number): void {
    if (this.paceFrom === undefined) {
      this.paceFrom = now;
      return;
    }
    this.events += count;
    const elapsed = now - this.paceFrom;
    if (this.events < PACE_EVENTS || elapsed < PACE_MILLISECONDS) {
      return;
    }
    const milliseconds = elapsed / this.events;
    this.speed.eventsPassed(milliseconds, now);
    const factor = milliseconds / this.speed.eventMilliseconds;
    this.observe(factor, PACE_WEIGHT, SpeedSource.Events, now);
    this.paceFrom = now;
    this.events = 0;
  }

  /**
   * Records that the endpoint does not run the request: there was no connection, or it
   * refused. That shows nothing of how fast it works.
   */
  notRun(): void {
    this.hasEnded = true;
    this.endpoint.remove(this);
  }

  /** Records the end of the request, whatever it is. */
  ended(now: number): void {
    if (this.hasEnded) {
      return;
    }
    this.hasEnded = true;
    this.endpoint.remove(this);
    if (this.hasBegun) {
      this.endpoint.runningStreams -= this.size.isStream ? 1 : 0;
    } else if (this.delay(now) > 1) {
      this.observe(this.delay(now), 1, SpeedSource.FirstEvent, now);
    }
  }

  /** A shared part that was not in the cache delays the answer by its reading. */
  private observePart(milliseconds: number, now: number): void {
    const {ownTokens, sharedTokens, tokens, dataCenter} = this.size;
    if (sharedTokens <= ownTokens || tokens >= ownTokens + sharedTokens) {
      return;
    }
    const usual = this.endpoint.slowness(
      this.speed.logSlownessOf(dataCenter, now),
      now,
    );
    const limit = this.speed.beginMilliseconds(
      this.tokensAhead + ownTokens + sharedTokens / 2,
    );
    this.speed.partObserved(milliseconds < usual * limit, now);
  }

  private latestBegin(): number {
    const {ownTokens, sharedTokens} = this.size;
    return this.speed.beginMilliseconds(
      this.tokensAhead + ownTokens + sharedTokens,
    );
  }

  private observe(
    factor: number,
    weight: number,
    source: SpeedSource,
    now: number,
  ): void {
    if (this.size.isTrial === true) {
      return;
    }
    const logSlowness = Math.max(
      -MAXIMUM_LOG_SLOWNESS,
      Math.min(MAXIMUM_LOG_SLOWNESS, Math.log(factor)),
    );
    this.speed.observe(this.size.dataCenter, logSlowness, weight, now);
    this.endpoint.observe(logSlowness, weight, source, now);
  }
}
