import {Fate, StepError} from '@wisteriadeal/platform';
import {ExitCode} from '@wisteriadeal/runtime';

/** An expected failure of a command. */
export class CommandError extends Error {
  override readonly name: string = 'CommandError';
  /**
   * @param exitCode The exit code of the process.
   * @param nextStep What the operator can do next.
   */
  constructor(
    readonly exitCode: ExitCode,
    message: string,
    readonly nextStep: string,
  ) {
    super(message);
  }
}

/**
 * Converts an error of the platform or of a process of the fleet into a
 * `CommandError`. Returns errors of other kinds unchanged.
 *
 * @param retryHint Next step if it is unknown whether the operation was done.
 */
export function asCommandError(error: unknown, retryHint: string): unknown {
  if (!(error instanceof StepError)) {
    return error;
  }
  return error.fate === Fate.Unknown
    ? new CommandError(
        ExitCode.OutcomeUnknown,
        `${error.message}; whether it was done is unknown`,
        retryHint,
      )
    : new CommandError(
        ExitCode.Unavailable,
        `${error.message}; nothing was done`,
        'Check the address and that the service there is running, then run the same command again.',
      );
}
