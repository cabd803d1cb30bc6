export * from './stated-limit.js';
