/**
 * Budgets on a log that every host reads: the fold that decides each process's grants,
 * a process's account of its tokens, and the sizing of its grant requests.
 */
export * from './budget-fold.js';
export * from './budget-checkpoint.js';
export * from './budget-view.js';
export * from './dropped-records.js';
export * from './fleet-usage.js';
export * from './grant-account.js';
export * from './grant-ceilings.js';
export * from './grant-sizing.js';
export * from './leaving-surplus.js';
export * from './lender-knowledge.js';
export * from './loan-backoff.js';
export * from './loans.js';
export * from './refill-backoff.js';
export * from './reservation.js';
export * from './unanswered-loans.js';
