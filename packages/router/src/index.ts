/**
 * Binary: serves callers and dispatches to endpoints.
 */
export {};
