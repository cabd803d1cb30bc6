/**
 * Pure decisions under load: admit, queue, refuse, place, shift. Nothing here
 * opens a socket, reads a clock or draws a random number of its own.
 */
export * from './decision.js';
export * from './endpoint-description.js';
export * from './endpoint-state.js';
export * from './first-come-queue.js';
export * from './least-loaded-placement.js';
export * from './load-core.js';
export * from './placement-policy.js';
export * from './queue-policy.js';
export * from './random-placement.js';
export * from './work.js';
