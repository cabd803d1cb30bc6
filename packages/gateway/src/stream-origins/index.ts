export * from './configuration-sequence.js';
export * from './origin-watch.js';
export * from './past-origins-source.js';
export * from './stream-binding.js';
export * from './stream-origin-peers.js';
export * from './stream-origin-registry.js';
export * from './stream-starts.js';
export * from './take-up.js';
