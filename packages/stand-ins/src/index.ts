/**
 * Small stand-ins for the platform, model engines and plain services, and fakes for
 * tests. For development only.
 */
export * from './expected-completion.js';
export * from './testing/index.js';
export {bodyDigest, type PlainServiceReply} from './plain-service-stand-in.js';
