import {Fate, StepError} from '@wisteriadeal/platform';
import {ExitCode} from '@wisteriadeal/runtime';

/** An expected end of a command that is not a success. */
export class CommandError extends Error {
  override readonly name: string = 'CommandError';
  /**
   * @param exitCode What the shell gets.
   * @param nextStep What the operator may do about it.
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
 * The command's end that follows from an error of the platform or a process.
 * Errors of other kinds are returned as they are.
 */
export function asCommandError(error: unknown, retryHint: string): unknown {
  if (!(error instanceof StepError)) {
    return error;
  }
  return error.fate === Fate.Unknown
    ? new CommandError(
        ExitCode.Unknown,
        `${error.message}; whether it was done is unknown`,
        retryHint,
      )
    : new CommandError(
        ExitCode.Unavailable,
        `${error.message}; nothing was done`,
        'Check the address and that the other side is up, then run the same line again.',
      );
}
