/**
 * Binary: log, grants and configuration for the routers of its host.
 */
export {};
