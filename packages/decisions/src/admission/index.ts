export * from './engine-admission.js';
export * from './returning-callers.js';
export * from './send-all.js';
export * from './share-admission.js';
