import {limitFindings} from './limit-checks.js';
import {matchingFindings} from './matching-checks.js';
import type {ReviewFinding} from './review-finding.js';
import type {ReviewedFleet} from './reviewed-fleet.js';

/**
 * Reviews a gateway configuration: entries that can never match, and limits
 * that contradict each other. Times are milliseconds, budgets tokens.
 *
 * @example
 * ```ts
 * for (const {entry, found, expected} of reviewFleet(fleet)) {
 *   console.log(`${entry}: found ${found}, expected ${expected}`);
 * }
 * ```
 */
export function reviewFleet(fleet: ReviewedFleet): readonly ReviewFinding[] {
  return [...matchingFindings(fleet), ...limitFindings(fleet)];
}
