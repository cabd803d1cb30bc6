/**
 * The one program of an entry host on a platform with a shared store: it takes
 * callers' requests to endpoints, within organisations' prepaid budgets. What is
 * outside stands behind `Dialect` and `PartitionedLog`.
 */
export * from './caller-door.js';
export * from './configuration.js';
export * from './dialect.js';
export * from './endpoint-entry.js';
export * from './gateway.js';
export * from './gateway-names.js';
export * from './hop-headers.js';
export * from './host-traffic.js';
export * from './listening.js';
