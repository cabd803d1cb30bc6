/**
 * Development only: the demo and the named measurements.
 */
export {};
