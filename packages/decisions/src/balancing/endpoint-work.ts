import {DecayedMean} from './decayed-mean.js';
import type {RequestWork} from './request-work.js';
import {SPEED_MEMORY_MILLISECONDS} from './service-speed.js';

/** Where a belief about an endpoint's speed comes from. */
export enum SpeedSource {
  /** Nothing was observed; the data centre's mean is assumed. */
  None = 'none',
  /** The time until an answer began. */
  FirstEvent = 'first-event',
  /** The time between events of a stream. */
  Events = 'events',
}

/** Bound on the weight of past observations of one endpoint; the latest counts a third. */
const MAXIMUM_WEIGHT = 2;
/** Weight of the data centre's mean, in observations of the endpoint. */
const PRIOR_WEIGHT = 0.5;

/**
 * What this host has in progress at one endpoint, as work, and what it believes of the
 * endpoint's speed.
 */
export class EndpointWork {
  /** Prompt tokens of this host's requests there whose answers have not begun. */
  waitingTokens = 0;
  /** This host's streams there that have begun. */
  runningStreams = 0;
  /**
   * Time that the endpoint needs for all that this host has sent there, milliseconds.
   * The host's own requests go in turns where this is equal. Undefined before the
   * endpoint could first have got a request.
   */
  sentMilliseconds: number | undefined;
  private logSlowness = newMean();
  private readonly waiting = new Set<RequestWork>();
  private latestSource = SpeedSource.None;

  /** Where the latest observation of its speed comes from. */
  get source(): SpeedSource {
    return this.latestSource;
  }

  /** Age of the latest observation, milliseconds; undefined without one. */
  ageMilliseconds(now: number): number | undefined {
    return this.latestSource === SpeedSource.None
      ? undefined
      : now - this.logSlowness.observedAt;
  }

  /** Records by how much the endpoint exceeded the times without waiting. */
  observe(
    logSlowness: number,
    weight: number,
    source: SpeedSource,
    now: number,
  ): void {
    this.logSlowness.observe(logSlowness, weight, now);
    this.latestSource = source;
  }

  /** Forgets what was observed of the endpoint's speed. */
  forgetSpeed(): void {
    this.logSlowness = newMean();
    this.latestSource = SpeedSource.None;
  }

  /** Adds a request that was sent. */
  add(work: RequestWork): void {
    this.waiting.add(work);
    this.waitingTokens += work.tokens;
  }

  /** Removes a request that has begun or ended. */
  remove(work: RequestWork): void {
    if (this.waiting.delete(work)) {
      this.waitingTokens -= work.tokens;
    }
  }

  /**
   * Factor by which it exceeds the times without waiting. An observation loses weight
   * with age, so that a slow endpoint is tried again. A request that should have begun
   * long ago counts before its answer does.
   *
   * @param assumed Logarithm of the factor without observations.
   */
  slowness(assumed: number, now: number): number {
    const value = Math.exp(
      this.logSlowness.valueAt(now, {value: assumed, weight: PRIOR_WEIGHT}),
    );
    const [oldest] = this.waiting;
    return oldest === undefined ? value : Math.max(value, oldest.delay(now));
  }
}

function newMean(): DecayedMean {
  return new DecayedMean(SPEED_MEMORY_MILLISECONDS, MAXIMUM_WEIGHT);
}
