/**
 * Pause between reads of the endpoint list, as a share of the time for which an
 * endpoint that leaves still accepts requests.
 */
const ENDPOINT_PAUSE_DRAIN_SHARE = 0.175;
/**
 * Bounds of that pause, in milliseconds. A new endpoint, or one that has crashed, is
 * not seen before the next read.
 */
const MINIMUM_ENDPOINT_PAUSE_MILLISECONDS = 100;
const MAXIMUM_ENDPOINT_PAUSE_MILLISECONDS = 1_000;
/**
 * Longest wait of a read for a new configuration, as a share of the time within
 * which the configuration has to be in force. The timeout of a dead connection
 * and the next read fit into the rest.
 */
const CONFIGURATION_WAIT_SHARE = 0.5;
/** Maximum of that wait, in milliseconds; a dead connection is noticed after it. */
const MAXIMUM_CONFIGURATION_WAIT_MILLISECONDS = 5_000;
/** Interval between reads of the budgets in a small fleet, in milliseconds. */
const MINIMUM_BUDGET_INTERVAL_MILLISECONDS = 700;
/** Part of that interval that each host adds in a large fleet, in milliseconds. */
const BUDGET_INTERVAL_PER_HOST_MILLISECONDS = 5;
/**
 * Maximum interval between reads of the budgets, in milliseconds. A host notices
 * only by such a read that the store does not answer it.
 */
const MAXIMUM_BUDGET_INTERVAL_MILLISECONDS = 2_000;

/**
 * Returns the pause between two reads of the endpoint list, in milliseconds.
 * Answers a fleet in which every host reads the list many times within the time
 * that leaving endpoints allow.
 *
 * @param drainMilliseconds How long an endpoint accepts new requests after it is
 *     listed as leaving.
 */
export function endpointReadPause(drainMilliseconds: number): number {
  return Math.min(
    MAXIMUM_ENDPOINT_PAUSE_MILLISECONDS,
    Math.max(
      MINIMUM_ENDPOINT_PAUSE_MILLISECONDS,
      drainMilliseconds * ENDPOINT_PAUSE_DRAIN_SHARE,
    ),
  );
}

/**
 * Returns how long a read waits for a new configuration, in milliseconds.
 *
 * @param applyMilliseconds Time within which a configuration has to be in force.
 */
export function configurationReadWait(applyMilliseconds: number): number {
  return Math.min(
    MAXIMUM_CONFIGURATION_WAIT_MILLISECONDS,
    applyMilliseconds * CONFIGURATION_WAIT_SHARE,
  );
}

/**
 * Returns the interval between two reads of the budgets while no request waits
 * for tokens, in milliseconds. In a large fleet it grows with the number of
 * hosts, so that the reads of all hosts together do not.
 *
 * @example
 * ```ts
 * budgetReadInterval(9); // 700
 * budgetReadInterval(195); // 975
 * ```
 */
export function budgetReadInterval(hosts: number): number {
  return Math.min(
    MAXIMUM_BUDGET_INTERVAL_MILLISECONDS,
    Math.max(
      MINIMUM_BUDGET_INTERVAL_MILLISECONDS,
      hosts * BUDGET_INTERVAL_PER_HOST_MILLISECONDS,
    ),
  );
}

/** Shortest time between two reads that callers wait for, in milliseconds. */
const MINIMUM_SHARED_INTERVAL_MILLISECONDS = 20;
/** The same in a large fleet, whose hosts share the limit of calls to the store. */
const MAXIMUM_SHARED_INTERVAL_MILLISECONDS = 50;
/** Part of that time that each host adds, in milliseconds. */
const SHARED_INTERVAL_PER_HOST_MILLISECONDS = 1;

/**
 * Returns the shortest time between two reads of a topic that callers wait for, in
 * milliseconds; those that come meanwhile share one.
 *
 * @param hosts Number of hosts that share the limit of calls to the store.
 * @example
 * ```ts
 * sharedReadInterval(9); // 20
 * sharedReadInterval(195); // 50
 * ```
 */
export function sharedReadInterval(hosts: number): number {
  return Math.min(
    MAXIMUM_SHARED_INTERVAL_MILLISECONDS,
    Math.max(
      MINIMUM_SHARED_INTERVAL_MILLISECONDS,
      hosts * SHARED_INTERVAL_PER_HOST_MILLISECONDS,
    ),
  );
}
