/**
 * Library with which operators print a configuration.
 */
export {};
