/**
 * Folds of the budget ledger and the configuration, and the books of holders
 * and witnesses. Nothing here performs I/O or reads a clock or a source of
 * randomness.
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
export {FailureScenario} from './simulated-workload.js';
export * from './rate-estimate.js';
export * from './recent-identifiers.js';
export * from './tokens.js';
export * from './verdict.js';
export * from './witness-book.js';
