export * from './admission-record.js';
export * from './attempt-observation.js';
export * from './engine-admissions.js';
