export * from './endpoint-places.js';
export * from './place-messages.js';
export * from './place-peers.js';
export * from './service-places.js';
