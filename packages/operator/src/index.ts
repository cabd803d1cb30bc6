/**
 * Library with which operators print a configuration.
 */
export * from './configuration-builder.js';
export * from './configuration-checker.js';
export * from './configuration-error.js';
export * from './configuration-options.js';
export * from './configuration-problem.js';
export * from './credential.js';
export {BudgetPreference, EndpointState} from '@wisteriadeal/schema';
