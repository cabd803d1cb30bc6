export * from './demand-division.js';
export * from './host-places.js';
export * from './learned-room.js';
export * from './own-places.js';
export * from './place-division.js';
export * from './place-wait.js';
export * from './service-brittleness.js';
