export * from './continuation-event.js';
export * from './continuation-record.js';
export * from './endpoint-leavings.js';
export * from './move-messages.js';
export * from './run-continuation.js';
export * from './run-copies.js';
