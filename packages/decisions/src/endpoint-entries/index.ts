export * from './entry-order.js';
export * from './entry-orders.js';
