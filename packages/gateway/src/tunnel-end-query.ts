import {NetworkTimeout} from '@wisteriadeal/platform';
import {request} from 'node:http';

import {listenAddress} from './listening.js';
import {TUNNEL_END_PATH} from './tunnel-protocol.js';

/**
 * Asks a relay whether a tunnel was ended by its endpoint; resolves with false
 * if the relay does not say so in time. The system closes the connections of a
 * killed relay in the same way as those that an endpoint ended.
 */
export function wasEndedByEndpoint(
  relayAddress: string,
  tunnelId: string,
  timeoutMilliseconds: number,
): Promise<boolean> {
  const {address, port} = listenAddress(relayAddress);
  return new Promise(resolve => {
    const outgoing = request({
      agent: false,
      host: address,
      port,
      path: `${TUNNEL_END_PATH}${tunnelId}`,
    });
    const timeout = new NetworkTimeout(timeoutMilliseconds, () => {
      outgoing.destroy();
    });
    outgoing.once('response', incoming => {
      incoming.resume();
      resolve(incoming.statusCode === 204);
    });
    outgoing.on('error', () => {
      // 'close' follows.
    });
    outgoing.once('close', () => {
      timeout.close();
      resolve(false);
    });
    outgoing.end();
  });
}
