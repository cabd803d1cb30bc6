export * from './continuation-event.js';
export * from './continuation-record.js';
export * from './run-continuation.js';
export * from './run-copies.js';
