import {FakeClock} from '@wisteriadeal/stand-ins';

import {
  EndpointPlaces,
  PlacePeers,
  type AllotmentMessage,
} from '../endpoint-places/index.js';

/** No other host answers. */
class NoPeers extends PlacePeers {
  override report(): Promise<AllotmentMessage> {
    return Promise.reject(new Error('no other host'));
  }

  override tell(): Promise<void> {
    return Promise.reject(new Error('no other host'));
  }

  override close(): void {
    // Nothing is open.
  }
}

/** Places of a host that knows neither endpoints nor other hosts. */
export function loneHostPlaces(): EndpointPlaces {
  return new EndpointPlaces({
    host: 'host-1',
    peers: new NoPeers(),
    clock: new FakeClock(),
    events: {info: () => undefined, warn: () => undefined} as never,
    endpointsOf: () => [],
    memoryTokensOf: () => undefined,
    place: () => ({rank: 0, hosts: 1}),
    otherHosts: () => [],
  });
}
