/** Fake implementations of the platform interfaces, for tests of other packages. */
export * from './fake-clock.js';
export * from './fake-host-link.js';
export * from './memory-host-list.js';
export * from './memory-log.js';
export * from './seeded-random-source.js';
export * from './memory-partitioned-log.js';
