/**
 * Budgets on a log that every host reads: the fold that decides who holds what,
 * a process's own account of what it holds, and how much it asks for.
 */
export * from './budget-fold.js';
export * from './budget-checkpoint.js';
export * from './budget-view.js';
export * from './grant-account.js';
export * from './grant-sizing.js';
export * from './leaving-surplus.js';
export * from './loans.js';
export * from './refill-pacing.js';
export * from './reservation.js';
export * from './unanswered-loans.js';
