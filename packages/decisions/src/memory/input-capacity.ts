const MEGABYTE = 1_000_000;
/** Memory of the smallest machines, megabytes. */
const DEFAULT_MEMORY_MEGABYTES = 160;
/**
 * Memory that the process needs beside what it holds for requests, megabytes: the
 * program, its state, and garbage that is not collected yet.
 */
const PROCESS_MEGABYTES = 128;
/** A body takes its size twice when its parts are joined. */
const COPIES = 2;
/** One whole answer fits in any case. */
const MINIMUM_BYTES = 8 * 1024 * 1024;

/**
 * Bytes from outside that a process may hold for all of its requests together.
 *
 * @param memoryMegabytes Memory of the machine, megabytes; 0 if unknown.
 * @example
 * ```ts
 * inputCapacityBytes(160); // 16,000,000
 * ```
 */
export function inputCapacityBytes(memoryMegabytes: number): number {
  const memory = memoryMegabytes || DEFAULT_MEMORY_MEGABYTES;
  const left = (memory - PROCESS_MEGABYTES) * MEGABYTE;
  return Math.max(MINIMUM_BYTES, left / COPIES);
}
