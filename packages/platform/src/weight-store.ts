/** What one fetch of weights took. */
export interface WeightTicket {
  /** Hand this to the engine's order; the engine fetches with it. */
  readonly ticket: string;
}

/** The platform's rate-limited store of model weights. */
export abstract class WeightStore {
  /**
   * Asks for leave to fetch weights.
   *
   * @returns The ticket, or the milliseconds to wait where the limit is reached.
   * @throws StepError when the store can't be reached.
   * @example
   * ```ts
   * const answer = await weightStore.requestTicket('tutor-7b');
   * ```
   */
  abstract requestTicket(
    artifact: string,
    signal?: AbortSignal,
  ): Promise<WeightTicket | {readonly retryAfterMilliseconds: number}>;

  /** Ends open connections. */
  abstract close(): Promise<void>;
}
