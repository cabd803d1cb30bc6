export * from './batch-interval.js';
