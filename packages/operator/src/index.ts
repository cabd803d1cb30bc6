/**
 * Library for operators' programs: builds, prints and publishes configurations,
 * tops up budgets and releases stranded grants.
 */
export * from './configuration-builder.js';
export * from './configuration-difference.js';
export * from './configuration-error.js';
export * from './configuration-options.js';
export * from './configuration-problem.js';
export * from './configuration-review/index.js';
export * from './confirmed-append.js';
export * from './credential.js';
export * from './fold-sources.js';
export * from './json-schema.js';
export * from './opening-budgets.js';
export * from './publication.js';
export * from './stream-reader.js';
export * from './stranded-release.js';
export * from './top-up.js';
export {BudgetPreference, EndpointState} from '@wisteriadeal/schema';
