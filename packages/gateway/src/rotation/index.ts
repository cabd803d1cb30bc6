export * from './loop-withdrawal.js';
