export * from './endpoint-statement.js';
export * from './endpoint-statements.js';
export * from './stated-admission.js';
export * from './stated-conditions.js';
