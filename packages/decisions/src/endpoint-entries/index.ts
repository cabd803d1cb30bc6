export * from './entry-order.js';
export * from './entry-orders.js';
export * from './endpoint-starts.js';
