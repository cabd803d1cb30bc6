export * from './heaviest-callers.js';
export * from './loop-saturation.js';
export * from './room-use.js';
export * from './withdrawal-turns.js';
