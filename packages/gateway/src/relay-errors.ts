/** No other host relays connections to the service. */
export class NoRelayError extends Error {
  override readonly name: string = 'NoRelayError';
}

/** The endpoint accepts no connection from the relay either. */
export class RelayedConnectError extends Error {
  override readonly name: string = 'RelayedConnectError';
}
