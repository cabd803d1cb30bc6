import type {ConfigurationProblem, Path} from './configuration-problem.js';

interface Pattern {
  readonly matches: RegExp;
  readonly expected: string;
}

/** Forms of the texts in a configuration. */
export const PATTERNS = {
  name: {
    matches: /^[a-z0-9][a-z0-9._-]{0,62}$/,
    expected:
      'a name of 1 to 63 lower-case letters, digits, ".", "_" or "-", starting with a letter or digit',
  },
  method: {
    matches: /^(GET|POST|PUT|PATCH|DELETE)$/,
    expected: 'one of GET, POST, PUT, PATCH, DELETE',
  },
  path: {
    matches: /^\/[\w\-./~%]*$/,
    expected: 'a path that starts with "/" and has no query',
  },
  sha256: {
    matches: /^[0-9a-f]{64}$/,
    expected: 'a SHA-256 of 64 lower-case hexadecimal digits',
  },
  address: {
    matches:
      /^(?:(?:25[0-5]|2[0-4]\d|1?\d?\d)(?:\.(?!:)|(?=:))){4}:(?!0)\d{1,5}$|^\[[0-9a-fA-F:]+\]:(?!0)\d{1,5}$/,
    expected: 'IP:port, such as 10.0.0.7:8000',
  },
} as const satisfies Readonly<Record<string, Pattern>>;

const MAXIMUM_UINT32 = 0xffff_ffff;

/** Compares a text with a pattern. */
export function checkText(
  value: string,
  pattern: Pattern,
  path: Path,
): ConfigurationProblem[] {
  return pattern.matches.test(value)
    ? []
    : [{path, expected: pattern.expected}];
}

/** Compares a whole number with its bounds, both included. */
export function checkWhole(
  value: number,
  least: number,
  path: Path,
  most = MAXIMUM_UINT32,
): ConfigurationProblem[] {
  return Number.isInteger(value) && value >= least && value <= most
    ? []
    : [{path, expected: `a whole number from ${least} to ${most}`}];
}

/**
 * Amounts of tokens are doubles in the schema: beyond 2^53 sums would lose
 * single tokens, and a budget would no longer be what its records add up to.
 */
export function checkTokens(value: number, path: Path): ConfigurationProblem[] {
  return checkWhole(value, 0, path, Number.MAX_SAFE_INTEGER);
}
