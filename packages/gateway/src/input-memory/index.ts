export * from './held-bytes.js';
export * from './held-kind.js';
export * from './input-account.js';
export * from './memory-log.js';
