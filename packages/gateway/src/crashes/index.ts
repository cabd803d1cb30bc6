export * from './crash-detector.js';
export * from './request-identity.js';
export * from './suspect-archive.js';
export * from './suspect-event.js';
export * from './suspect-peers.js';
export * from './suspect-registry.js';
