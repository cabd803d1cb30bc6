export * from './end-largest-source.js';
export * from './input-capacity.js';
export * from './memory-policy.js';
