/**
 * Code that all binaries share: settings, logs, metrics, the control server, the
 * state dump and graceful shutdown.
 */
export * from './binary.js';
export * from './control-server.js';
export * from './unhandled-errors.js';
export * from './descriptors.js';
export * from './event-log.js';
export * from './inspection.js';
export * from './line-rate-limiter.js';
export * from './line-writer.js';
export * from './message-queue.js';
export * from './metrics.js';
export * from './peer-session-manager.js';
export * from './results.js';
export * from './schema-check.js';
export * from './setting-reader.js';
export * from './settings-file.js';
export * from './settings-rules.js';
export * from './settings-watch.js';
export * from './stop-signal.js';
export * from './system-clock.js';
export * from './system-random-source.js';
