import {formatPath, type Path} from './configuration-problem.js';

/** The function below which a stack trace starts. */
export type StackBase = (...values: never[]) => unknown;

/** What is wrong, and where. */
export interface ConfigurationMistake {
  /** Where it stands, such as `['organisations', 0, 'weight']`. */
  readonly path: Path;
  /** What was expected, as a sentence without its full stop. */
  readonly message: string;
}

/**
 * A mistake in a configuration, thrown by the line that made it: the stack
 * starts at the operator's call of the builder and not inside the library.
 */
export class ConfigurationError extends Error {
  override readonly name: string = 'ConfigurationError';
  /** The key that is wrong, such as `endpoints[3].address`. */
  readonly key: string;
  /** What was expected there. */
  readonly expected: string;
  /** File, line and column of the builder's call. */
  readonly callSite: string;

  /**
   * @param mistake What is wrong.
   * @param subject The thing that the line defines, such as `endpoint "tutor-1"`.
   * @param calledMethod The builder's method that the operator called.
   */
  constructor(
    mistake: ConfigurationMistake,
    subject: string,
    calledMethod: StackBase,
  ) {
    const key = formatPath(mistake.path);
    super(`${subject}: ${key}: ${mistake.message}`);
    this.key = key;
    this.expected = mistake.message;
    Error.captureStackTrace(this, calledMethod);
    this.callSite = callSiteOf(this.stack ?? '');
  }
}

function callSiteOf(stack: string): string {
  const frame = stack.split('\n').find(line => /^\s+at /.test(line)) ?? '';
  return /\(?((?:file:\/\/)?[^\s()]+:\d+:\d+)\)?$/.exec(frame)?.[1] ?? '';
}
