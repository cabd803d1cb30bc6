/**
 * Everything outside the system, each behind one abstract class: replacing an
 * adapter touches this package only.
 */
export * from './clock.js';
export * from './host-list.js';
export * from './log-client.js';
export * from './model-engine.js';
export * from './plain-service.js';
export * from './random-source.js';
export * from './step-error.js';
export * from './weight-store.js';
