const MICROSECONDS_PER_SECOND = 1_000_000;

/**
 * Processor time of a piece of work in this process, divided by its repetitions.
 *
 * @param repetitions How often `work` is called; the first tenth warms up.
 * @param work Gets the index of the repetition.
 * @returns Microseconds of processor time for each repetition.
 * @example
 * ```ts
 * const microseconds = processorMicroseconds(10_000, index => fold(index));
 * ```
 */
export function processorMicroseconds(
  repetitions: number,
  work: (index: number) => void,
): number {
  const warm = Math.ceil(repetitions / WARM_SHARE);
  for (let index = 0; index < warm; index++) {
    work(index);
  }
  const before = process.cpuUsage();
  for (let index = warm; index < warm + repetitions; index++) {
    work(index);
  }
  const {user, system} = process.cpuUsage(before);
  return round((user + system) / repetitions);
}

const WARM_SHARE = 10;
const DECIMALS = 100;

function round(value: number): number {
  return Math.round(value * DECIMALS) / DECIMALS;
}

/** Share of a core that a rate of work takes. */
export function coreShare(microseconds: number, perSecond: number): number {
  return (microseconds * perSecond) / MICROSECONDS_PER_SECOND;
}
