/** One record of a stream of the platform's log. */
export interface LogRecord {
  readonly offset: number;
  readonly payload: Uint8Array;
  /** The platform's wall clock, in milliseconds since 1970; for people only. */
  readonly appendedAtMilliseconds: number;
}

/** What one read returned. */
export interface LogPage {
  readonly records: readonly LogRecord[];
  /** The oldest offset still kept; a reader behind it needs a checkpoint. */
  readonly firstOffset: number;
  /** Where the next read starts. */
  readonly nextOffset: number;
  /** The offset that the next append will get, as far as the platform told. */
  readonly endOffset: number;
}

/**
 * The platform's append-only log service.
 *
 * An append that failed with an unknown fate may stand on the log: the caller
 * reads on until its own identifier appears, and may append again, since every
 * fold ignores the second copy of an identifier.
 */
export abstract class LogClient {
  /**
   * Appends one record.
   *
   * @returns The offset that the platform answered. No verdict may rest on it:
   *     verdicts come from folding what is read.
   * @throws StepError whose fate says whether the record may stand on the log.
   * @example
   * ```ts
   * const offset = await log.append('configuration', payload, signal);
   * ```
   */
  abstract append(
    stream: string,
    payload: Uint8Array,
    signal?: AbortSignal,
  ): Promise<number>;

  /**
   * Reads from an offset on; waits up to `waitMilliseconds` for the first new
   * record where there is none.
   *
   * @throws StepError with fate NotDone when the platform can't be reached.
   * @example
   * ```ts
   * const page = await log.read('ledger-0', 120, 500, 1_000);
   * ```
   */
  abstract read(
    stream: string,
    fromOffset: number,
    limit: number,
    waitMilliseconds: number,
    signal?: AbortSignal,
  ): Promise<LogPage>;

  /** Ends open connections. Calls in progress fail with fate Unknown. */
  abstract close(): Promise<void>;
}
