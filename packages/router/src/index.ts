/**
 * Router process: serves callers and dispatches their requests to endpoints.
 */
export * from './composition.js';
export * from './keeper-connector.js';
export * from './problem.js';
export * from './request-state.js';
export * from './router-connector.js';
export * from './router.js';
