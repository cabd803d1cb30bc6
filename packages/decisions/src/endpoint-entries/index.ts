export * from './entry-order.js';
