export * from './topic-catch-up.js';
export * from './topic-copies.js';
export * from './topic-copy-codec.js';
export * from './topic-copy-peers.js';
