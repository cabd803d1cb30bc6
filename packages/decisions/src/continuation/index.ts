export * from './backup-worth.js';
export * from './copy-place.js';
export * from './move-decision.js';
export * from './run-length.js';
export * from './token-pace.js';
