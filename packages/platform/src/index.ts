/**
 * Interfaces to external systems, each behind one abstract class: replacing an
 * adapter changes only this package.
 */
export * from './clock.js';
export {
  readServerSentEvents,
  type ServerSentEvent,
} from './event-stream-reader.js';
export * from './host-link.js';
export * from './host-shortage.js';
export * from './host-list.js';
export * from './http-client.js';
export * from './http-endpoint-options.js';
export * from './http-host-list.js';
export * from './http-log-client.js';
export * from './http-model-engine.js';
export * from './http-peer.js';
export * from './http-plain-service.js';
export * from './http-weight-store.js';
export * from './log-client.js';
export * from './model-engine.js';
export * from './interrupted-head.js';
export * from './network-timeout.js';
export * from './partitioned-log.js';
export * from './plain-service.js';
export * from './random-source.js';
export * from './step-error.js';
export * from './weight-store.js';
