import {DecayedMean} from './decayed-mean.js';
import {LowLevel} from './low-level.js';

/** Cost of a prompt beside its tokens, in tokens: scheduling, a step, the round trip. */
const BASE_TOKENS = 400;
/** Time to read a prompt token before anything was observed, milliseconds. */
const INITIAL_MILLISECONDS_PER_TOKEN = 0.02;
/** Time between events before anything was observed, milliseconds. */
const INITIAL_EVENT_MILLISECONDS = 30;
/** Time in which observations of endpoints fall to 1/e of their weight, milliseconds. */
export const SPEED_MEMORY_MILLISECONDS = 20_000;
/** Bound on the weight of what was observed in one data centre. */
const MAXIMUM_DATA_CENTER_WEIGHT = 30;
/** Weight of the assumption that a data centre has idle endpoints. */
const IDLE_WEIGHT = 0.5;

/** Bound on the weight of past observations of parts at their homes. */
const MAXIMUM_PART_WEIGHT = 20;
/** Assumption on parts at their homes before any was observed. */
const UNKNOWN_PARTS = {value: 0.5, weight: 2};

/**
 * What this host knows of a service's speed: the time that answers take without waiting,
 * and for each data centre by how much its endpoints exceed it. Without recent
 * observations a data centre is taken to be idle, so that it is tried where the own one
 * is loaded.
 *
 * @example
 * ```ts
 * const speed = new ServiceSpeed();
 * speed.beginMilliseconds(628); // 21 until first answers were seen
 * ```
 */
export class ServiceSpeed {
  private readonly perToken = new LowLevel(INITIAL_MILLISECONDS_PER_TOKEN);
  private readonly perEvent = new LowLevel(INITIAL_EVENT_MILLISECONDS);
  private readonly heldParts = new DecayedMean(
    SPEED_MEMORY_MILLISECONDS,
    MAXIMUM_PART_WEIGHT,
  );
  private readonly dataCenters = new Map<string, DecayedMean>();

  /** Time in which an idle endpoint begins an answer, milliseconds. */
  beginMilliseconds(tokens: number): number {
    return this.perToken.value * (BASE_TOKENS + tokens);
  }

  /** Time in which an idle endpoint reads tokens, milliseconds. */
  readMilliseconds(tokens: number): number {
    return this.perToken.value * tokens;
  }

  /** Time between the events of a stream at an idle endpoint, milliseconds. */
  get eventMilliseconds(): number {
    return this.perEvent.value;
  }

  /**
   * Records the time until an answer began.
   *
   * @param fewestTokens Tokens that the endpoint had to read at least.
   */
  answerBegan(milliseconds: number, fewestTokens: number, now: number): void {
    this.perToken.observe(milliseconds / (BASE_TOKENS + fewestTokens), now);
  }

  /** Records the mean time between events of a stream, milliseconds. */
  eventsPassed(milliseconds: number, now: number): void {
    this.perEvent.observe(milliseconds, now);
  }

  /** Share of the long shared parts that their homes have in their caches. */
  heldShare(now: number): number {
    return this.heldParts.valueAt(now, UNKNOWN_PARTS);
  }

  /** Records whether a part was in the cache of its home, by the time of the answer. */
  partObserved(isHeld: boolean, now: number): void {
    this.heldParts.observe(isHeld ? 1 : 0, 1, now);
  }

  /** Records by how much an endpoint exceeded the times without waiting. */
  observe(
    dataCenter: string,
    logSlowness: number,
    weight: number,
    now: number,
  ): void {
    let mean = this.dataCenters.get(dataCenter);
    if (mean === undefined) {
      mean = new DecayedMean(
        SPEED_MEMORY_MILLISECONDS,
        MAXIMUM_DATA_CENTER_WEIGHT,
      );
      this.dataCenters.set(dataCenter, mean);
    }
    mean.observe(logSlowness, weight, now);
  }

  /** Logarithm of the factor by which a data centre exceeds the times without waiting. */
  logSlownessOf(dataCenter: string, now: number): number {
    return (
      this.dataCenters
        .get(dataCenter)
        ?.valueAt(now, {value: 0, weight: IDLE_WEIGHT}) ?? 0
    );
  }
}
