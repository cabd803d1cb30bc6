/**
 * Gateway process of an entry host on a platform with a shared store: it
 * forwards callers' requests to endpoints, within organisations' prepaid
 * budgets. External protocols and storage are behind `Dialect` and
 * `PartitionedLog`.
 */
export * from './caller-listener.js';
export * from './configuration.js';
export * from './continuation/move-messages.js';
export * from './dialect.js';
export * from './endpoint-entry.js';
export * from './endpoint-statements/endpoint-statement.js';
export * from './gateway.js';
export * from './gateway-names.js';
export * from './hop-headers.js';
export * from './host-traffic.js';
export * from './listening.js';
