/**
 * Binary: serves callers and dispatches to endpoints.
 */
export * from './composition.js';
export * from './keeper-link.js';
export * from './problem.js';
export * from './request-life.js';
export * from './router-attacher.js';
export * from './router.js';
