export * from './chunk-pacer.js';
export * from './event-limit.js';
export * from './filler-limit.js';
export * from './framing-limit.js';
export * from './input-breach.js';
export * from './input-log.js';
export * from './input-watch.js';
export * from './turn-budget.js';
