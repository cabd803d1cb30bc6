/** What is known of how long a run of a model engine is. */
export interface RunLength {
  /** The caller's estimate of the output, tokens; undefined if not stated. */
  readonly lengthHint: number | undefined;
  /** Output tokens at which the run ends at the latest. */
  readonly maximumOutputTokens: number;
  /** Output tokens delivered so far. */
  readonly deliveredTokens: number;
}

/**
 * Output tokens that a run is expected to have at its end. An estimate that the run has
 * passed says nothing about the rest, so that its maximum counts.
 *
 * @example
 * ```ts
 * expectedOutputTokens({lengthHint: 80, maximumOutputTokens: 400, deliveredTokens: 8}); // 80
 * ```
 */
export function expectedOutputTokens({
  lengthHint,
  maximumOutputTokens,
  deliveredTokens,
}: RunLength): number {
  return lengthHint !== undefined && lengthHint > deliveredTokens
    ? Math.min(lengthHint, maximumOutputTokens)
    : maximumOutputTokens;
}
