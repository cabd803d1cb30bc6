export * from './cold-admission.js';
export * from './cold-candidates.js';
export * from './cold-turns.js';
export * from './endpoint-warmth.js';
