/**
 * Development only: the demo and the named measurements.
 */
export * from './measure-case.js';
