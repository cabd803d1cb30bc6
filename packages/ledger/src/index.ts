/**
 * Pure folds and books of budgets, grants, bills, claims and configuration.
 */
export {};
