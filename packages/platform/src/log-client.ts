/** One record of a stream in the platform's log. */
export interface LogRecord {
  readonly offset: number;
  readonly payload: Uint8Array;
  /** The platform's wall clock, in milliseconds since 1970; only for display. */
  readonly appendedAtMilliseconds: number;
}

/** The result of one read. */
export interface LogPage {
  readonly records: readonly LogRecord[];
  /** Oldest retained offset; a reader that is behind it needs a checkpoint. */
  readonly firstOffset: number;
  /** Offset at which the next read starts. */
  readonly nextOffset: number;
  /** Offset of the next append, as the platform reported it; it may have advanced since. */
  readonly endOffset: number;
}

/**
 * The platform's append-only log service.
 *
 * A record whose append failed with an unknown fate may be in the log. Its writer reads
 * on until its own identifier appears, and may append again, since every fold ignores
 * the second copy of an identifier.
 */
export abstract class LogClient {
  /**
   * Appends one record.
   *
   * @returns The offset that the platform reported. Verdicts must not depend on it;
   *     they come from folding the records that are read.
   * @throws StepError whose fate says whether the record may be in the log.
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
   * Reads records from an offset on. If there are none, waits up to
   * `waitMilliseconds` for the first one.
   *
   * @param limit Maximum number of records.
   *
   * @throws StepError with fate NotDone when no usable response was read.
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

  /** Closes open connections. Calls in progress fail with fate Unknown. */
  abstract close(): Promise<void>;
}
