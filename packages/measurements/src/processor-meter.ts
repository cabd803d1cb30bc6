const MICROSECONDS_PER_SECOND = 1_000_000;

/**
 * Measures the mean processor time of a function in this process.
 *
 * @param repetitions Number of measured calls; a tenth as many calls precede them as
 *     warm-up.
 * @param work Function to measure; it receives the index of the call.
 * @returns Microseconds of processor time per call.
 * @example
 * ```ts
 * const microseconds = processorMicroseconds(10_000, index => fold(index));
 * ```
 */
export function processorMicroseconds(
  repetitions: number,
  work: (index: number) => void,
): number {
  const warmUpRepetitions = Math.ceil(repetitions / WARM_UP_DIVISOR);
  for (let index = 0; index < warmUpRepetitions; index++) {
    work(index);
  }
  const before = process.cpuUsage();
  for (
    let index = warmUpRepetitions;
    index < warmUpRepetitions + repetitions;
    index++
  ) {
    work(index);
  }
  const {user, system} = process.cpuUsage(before);
  return round((user + system) / repetitions);
}

const WARM_UP_DIVISOR = 10;
const ROUNDING_FACTOR = 100;

function round(value: number): number {
  return Math.round(value * ROUNDING_FACTOR) / ROUNDING_FACTOR;
}

/** Returns the share of a core that work of a given cost and rate per second takes. */
export function coreShare(microseconds: number, perSecond: number): number {
  return (microseconds * perSecond) / MICROSECONDS_PER_SECOND;
}
