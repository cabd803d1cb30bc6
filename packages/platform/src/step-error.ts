/**
 * Whether a failed operation may have taken effect.
 */
export enum Fate {
  /** The operation certainly had no effect. */
  NotDone = 'not-done',
  /** The operation may have taken effect: its response was lost or came too late. */
  Unknown = 'unknown',
}

/**
 * An error with the operation that failed, its peer and its fate.
 *
 * @example
 * ```ts
 * throw new StepError('append to the log', 'ledger-0', Fate.Unknown, 'timeout');
 * ```
 */
export class StepError extends Error {
  override readonly name: string = 'StepError';

  /**
   * @param step Name of the operation, as log lines show it.
   * @param peer The remote peer: an address, a stream or the name of an endpoint.
   * @param fate Whether the operation may have taken effect.
   * @param reason Cause of the failure.
   */
  constructor(
    readonly step: string,
    readonly peer: string,
    readonly fate: Fate,
    readonly reason: string,
    options?: ErrorOptions,
  ) {
    super(`${step} at ${peer}: ${reason}`, options);
  }
}
