/**
 * Pure folds and books of budgets, grants, bills, claims and configuration. No
 * input or output, no clocks, no randomness.
 */
export * from './configuration-fold.js';
export {
  ConfigurationProblemKind,
  type ConfigurationProblem,
} from './configuration-problem.js';
export * from './configuration-validation.js';
export * from './grant-policy.js';
export * from './holder-book.js';
export * from './ledger-fold.js';
export {openingEntryId} from './organisation-books.js';
export * from './placement.js';
export * from './policy-comparison.js';
export {ComparedCase} from './policy-workload.js';
export * from './rate-estimate.js';
export * from './recent-identifiers.js';
export * from './tokens.js';
export * from './verdict.js';
export * from './witness-book.js';
