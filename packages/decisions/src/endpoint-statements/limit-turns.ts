import murmurhash from 'murmurhash';

import {
  LimitAdmission,
  type HostPlace,
  type HostTime,
  type RequestLimit,
} from './limit-admission.js';

const SECOND_MILLISECONDS = 1_000;
/** Without any request no host would learn that a limit has ended. */
const MINIMUM_REQUESTS_PER_SECOND = 0.1;
/**
 * A turn lasts for a second and for two more requests of all hosts, so that a host with
 * few requests finds one for it.
 */
const TURN_MILLISECONDS = 1_000;
const TURN_REQUESTS = 2;
/** Part of a turn that is kept for the most urgent requests. */
const URGENT_PART = 0.5;
/** Endpoints that are remembered; those that are gone are never asked for again. */
const MAXIMUM_REMEMBERED = 1_024;

/**
 * Shares an endpoint's limit among hosts that send each other no messages. The requests
 * that the endpoint takes are given to the hosts in turn, by the time of day, and a turn
 * that is not used in time is lost. With a limit of N requests a second no more than
 * N x (t + 1 s) + 3 turns can be used in a time t, whichever hosts have requests.
 * A host whose clock or list of hosts differs has as many turns as the others, at other
 * times.
 *
 * @example
 * ```ts
 * const turns = new LimitTurns();
 * const limit = {id: 'engine-1', requestsPerSecond: 2};
 * if (turns.mayAdmit(limit, {rank: 0, hosts: 9}, time)) {
 *   turns.admitted(limit, {rank: 0, hosts: 9}, time);
 * }
 * ```
 */
export class LimitTurns extends LimitAdmission {
  /** When the latest turn that was used began, on the monotonic clock. */
  private readonly usedTurns = new Map<string, number>();

  override mayAdmit(
    limit: RequestLimit,
    place: HostPlace,
    time: HostTime,
    yields = false,
  ): boolean {
    const turn = this.oldestTurn(limit, place, time);
    const leastAge = yields ? URGENT_PART * lengthOf(limit) : 0;
    return turn !== undefined && time.monotonic - turn >= leastAge;
  }

  /** A request that is sent without a turn uses up the turns that have begun. */
  override admitted(
    limit: RequestLimit,
    place: HostPlace,
    time: HostTime,
  ): void {
    const turn = this.oldestTurn(limit, place, time) ?? time.monotonic;
    this.usedTurns.delete(limit.id);
    this.usedTurns.set(limit.id, turn);
    const [oldest] = this.usedTurns.keys();
    if (oldest !== undefined && this.usedTurns.size > MAXIMUM_REMEMBERED) {
      this.usedTurns.delete(oldest);
    }
  }

  /**
   * When the oldest turn began that the host may still use; undefined if it has none.
   * On the monotonic clock, so that a step of the time of day brings no turn back.
   */
  private oldestTurn(
    limit: RequestLimit,
    place: HostPlace,
    {monotonic, timeOfDay}: HostTime,
  ): number | undefined {
    const interval = intervalOf(limit);
    const period = interval * place.hosts;
    const usedTurn = this.usedTurns.get(limit.id) ?? -Infinity;
    // Two turns are a whole period apart, unless the limit or the hosts have changed.
    const oldestAge = Math.min(
      lengthOf(limit),
      monotonic - usedTurn - period / 2,
    );
    const latestAge = modulo(timeOfDay - offsetOf(limit, place), period);
    const earlierTurns = Math.floor((oldestAge - latestAge) / period);
    return earlierTurns < 0
      ? undefined
      : monotonic - latestAge - earlierTurns * period;
  }
}

/** Time between two requests that the endpoint takes, milliseconds. */
function intervalOf({requestsPerSecond}: RequestLimit): number {
  return (
    SECOND_MILLISECONDS /
    Math.max(MINIMUM_REQUESTS_PER_SECOND, requestsPerSecond)
  );
}

/** How long a turn may be used, milliseconds. */
function lengthOf(limit: RequestLimit): number {
  return TURN_MILLISECONDS + TURN_REQUESTS * intervalOf(limit);
}

/** When a host's turns begin in each period. It has others at other endpoints. */
function offsetOf(limit: RequestLimit, {rank, hosts}: HostPlace): number {
  return ((rank + murmurhash.v3(limit.id)) % hosts) * intervalOf(limit);
}

function modulo(value: number, divisor: number): number {
  return ((value % divisor) + divisor) % divisor;
}
