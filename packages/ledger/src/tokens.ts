/**
 * Whether a number is an amount of tokens: a whole number from 0 up to 2^53 - 1.
 * Sums of such amounts are checked again, since a double past 2^53 silently
 * loses single tokens.
 *
 * @example
 * ```ts
 * isTokenAmount(1.5); // false
 * ```
 */
export function isTokenAmount(value: number): boolean {
  return Number.isSafeInteger(value) && value >= 0;
}
