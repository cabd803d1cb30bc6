import tsResults from 'ts-results';

/**
 * Result type for expected errors. `ts-results` is a CommonJS module whose named
 * exports Node.js does not detect from an ECMAScript module: the process fails at
 * startup with "Named export 'Err' not found", although bundled tests pass. Therefore
 * only this module imports it, through its default export.
 */
export const {Err, Ok} = tsResults;
export type {Result} from 'ts-results';
