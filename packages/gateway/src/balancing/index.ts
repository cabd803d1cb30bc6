export * from './begin-work.js';
export * from './describe-belief.js';
export * from './fetchable-parts.js';
export * from './service-speeds.js';
