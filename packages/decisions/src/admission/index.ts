export * from './engine-admission.js';
export * from './littles-law.js';
export * from './priority-threshold.js';
export * from './returning-callers.js';
export * from './send-all.js';
export * from './share-admission.js';
