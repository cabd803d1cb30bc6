/**
 * Review of a configuration before it is sent: entries that can never match,
 * limits that contradict each other, and differences from the version in force.
 */
export * from './fleet-difference.js';
export * from './fleet-review.js';
export * from './publication-review.js';
export {FindingSeverity, type ReviewFinding} from './review-finding.js';
export * from './reviewed-fleet.js';
