import type {EndpointConnectionPool} from '../endpoint-connection-pool.js';
import type {EndpointEntry} from '../endpoint-entry.js';
import {addressOf} from './copy-address.js';
import type {EndpointCall} from './move-messages.js';

/** An endpoint's answer to a call. */
export interface CallAnswer {
  readonly status: number;
  /** Alternating names and values, as received. */
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
}

/** Answers to calls are short; a longer one is a fault. */
const MAXIMUM_ANSWER_BYTES = 16_384;

/**
 * Sends a call to an endpoint itself. Its answer names no call, so the connection is not shared.
 *
 * @param signal Ends the call.
 * @returns The answer; undefined if there is no complete one.
 */
export function callEndpoint(
  connections: EndpointConnectionPool,
  endpoint: EndpointEntry,
  {method, target, headers, body}: EndpointCall,
  signal: AbortSignal,
): Promise<CallAnswer | undefined> {
  return new Promise(resolve => {
    const outgoing = connections.requestUnshared({
      host: endpoint.address,
      port: endpoint.port,
      method,
      path: target,
      headers: [
        'Host',
        addressOf(endpoint),
        ...headers,
        'Content-Length',
        String(body.length),
      ],
      endpointId: endpoint.id,
      endpointBuild: endpoint.build,
      isCall: true,
      signal,
    });
    outgoing.on('response', incoming => {
      const chunks: Buffer[] = [];
      let bytes = 0;
      incoming.on('data', (chunk: Buffer) => {
        chunks.push(chunk);
        bytes += chunk.length;
        if (bytes > MAXIMUM_ANSWER_BYTES) {
          outgoing.destroy();
        }
      });
      incoming.on('error', () => {
        resolve(undefined);
      });
      incoming.on('end', () => {
        const {complete, rawHeaders, statusCode: status = 0} = incoming;
        const body = Buffer.concat(chunks);
        resolve(complete ? {status, rawHeaders, body} : undefined);
      });
    });
    outgoing.on('error', () => {
      resolve(undefined);
    });
    outgoing.on('close', () => {
      resolve(undefined);
    });
    outgoing.end(body);
  });
}
