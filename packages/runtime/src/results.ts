import tsResults from 'ts-results';

/**
 * Expected errors as values. The library is a CommonJS module whose named exports
 * Node.js can't see from an ECMAScript module (the process ends at its start with
 * "Named export 'Err' not found", while tests, which are bundled, pass): only this
 * module imports it, by its default export.
 */
export const {Err, Ok} = tsResults;
export type {Result} from 'ts-results';
