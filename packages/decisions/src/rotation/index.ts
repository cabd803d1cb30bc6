export * from './loop-saturation.js';
export * from './withdrawal-turns.js';
