import type {EndpointEntry} from '../endpoint-entry.js';

/** The address of an endpoint in headers and calls, `IP:port`. */
export function addressOf({address, port}: EndpointEntry): string {
  return `${address}:${port}`;
}
