/** How far the response to a read of the store has arrived. */
export interface ReadProgress {
  /** Milliseconds since its first byte. */
  readonly elapsedMilliseconds: number;
  readonly receivedBytes: number;
  /** Size of the whole response; undefined if it was not announced. */
  readonly totalBytes: number | undefined;
}

/** Time after its first byte before the speed of a response is judged, milliseconds. */
const MINIMUM_JUDGED_MILLISECONDS = 150;
/**
 * Share of the time within which a change has to be in force that a read may take. A copy
 * from another host needs as long as the rest at worst.
 */
const READ_SHARE = 1 / 3;

/**
 * Whether a read will take so long that another host should be asked for what it reads.
 * Answers callers that fill the link of a host beside a configuration of a megabyte: the
 * store's response gets a small share of the link, and a copy from a host is compressed.
 *
 * @param applyMilliseconds Time within which a change has to be in force.
 * @example
 * ```ts
 * isReadSlow({elapsedMilliseconds: 200, receivedBytes: 20_000, totalBytes: 600_000}, 3_000); // true
 * ```
 */
export function isReadSlow(
  {elapsedMilliseconds, receivedBytes, totalBytes}: ReadProgress,
  applyMilliseconds: number,
): boolean {
  if (elapsedMilliseconds < MINIMUM_JUDGED_MILLISECONDS) {
    return false;
  }
  const share =
    totalBytes === undefined ? 1 : Math.min(1, receivedBytes / totalBytes);
  const expectedMilliseconds = elapsedMilliseconds / share;
  return expectedMilliseconds > READ_SHARE * applyMilliseconds;
}
