import {formatPath, type Path} from './configuration-problem.js';

/** The function whose caller is the first frame of a captured stack trace. */
export type StackBase = (...values: never[]) => unknown;

/** One validation failure. */
export interface ConfigurationMistake {
  /** The invalid value's path, such as `['organisations', 0, 'weight']`. */
  readonly path: Path;
  /** What was expected, without a final full stop. */
  readonly message: string;
}

/**
 * Thrown by a builder method for invalid input. The stack trace starts at the
 * operator's call of that method, not inside the library.
 */
export class ConfigurationError extends Error {
  override readonly name: string = 'ConfigurationError';
  /** Path of the invalid key, such as `endpoints[3].address`. */
  readonly key: string;
  /** What was expected for that key. */
  readonly expected: string;
  /**
   * File, line and column of the operator's call, such as `fleet.ts:12:3`;
   * empty if the stack trace has no frame.
   */
  readonly callSite: string;

  /**
   * @param mistake The validation failure.
   * @param subject What the call defines, such as `endpoint "tutor-1"`.
   * @param calledMethod The builder method that the operator called.
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
