/**
 * Binary: check, publish, top up, explain, dump.
 */
export {};
