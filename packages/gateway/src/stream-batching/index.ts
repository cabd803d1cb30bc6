export * from './event-batches.js';
