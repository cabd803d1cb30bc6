export * from './endpoint-work.js';
export * from './expected-cost.js';
export * from './request-work.js';
export * from './service-speed.js';
