/**
 * Whether a number is an amount of tokens: an integer from 0 to 2^53 - 1. Sums
 * of amounts have to be checked again, since a double above 2^53 cannot
 * represent every integer and silently loses single tokens.
 *
 * @example
 * ```ts
 * isTokenAmount(1.5); // false
 * ```
 */
export function isTokenAmount(value: number): boolean {
  return Number.isSafeInteger(value) && value >= 0;
}
