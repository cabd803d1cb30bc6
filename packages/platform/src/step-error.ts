/**
 * What is known of an operation that ended with an error.
 */
export enum Fate {
  /** It certainly had no effect. */
  NotDone = 'not-done',
  /** It may have had its effect: the answer was lost or came too late. */
  Unknown = 'unknown',
}

/**
 * An error that names the step and the peer at which it arose.
 *
 * @example
 * ```ts
 * throw new StepError('append to the log', 'ledger-0', Fate.Unknown, 'timeout');
 * ```
 */
export class StepError extends Error {
  override readonly name: string = 'StepError';

  /**
   * @param step What was being done, in words for an operator's log line.
   * @param peer The other side: an address, a stream, an endpoint's name.
   * @param fate Whether the step may have had its effect.
   * @param reason What went wrong.
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
