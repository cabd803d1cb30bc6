export * from './limit-admission.js';
export * from './limit-turns.js';
export * from './recent-priorities.js';
export * from './stated-number.js';
export * from './stated-rest.js';
