/** Permission to fetch weights once. */
export interface WeightTicket {
  /** Token to include in an engine order; the engine fetches the weights with it. */
  readonly ticket: string;
}

/** The platform's rate-limited store of model weights. */
export abstract class WeightStore {
  /**
   * Requests a ticket to fetch weights.
   *
   * @returns The ticket, or the milliseconds to wait if the rate limit is reached.
   * @throws StepError if the store returned no usable response.
   * @example
   * ```ts
   * const answer = await weightStore.requestTicket('tutor-7b');
   * ```
   */
  abstract requestTicket(
    artifact: string,
    signal?: AbortSignal,
  ): Promise<WeightTicket | {readonly retryAfterMilliseconds: number}>;

  /** Closes open connections. */
  abstract close(): Promise<void>;
}
