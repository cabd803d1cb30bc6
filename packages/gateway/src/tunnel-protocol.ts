/**
 * Header of a CONNECT request between hosts that names the endpoint. The relay looks up
 * its address: addresses are used again by endpoints of other services.
 */
export const TUNNEL_ENDPOINT_HEADER = 'endpoint-id';

/**
 * Header of a CONNECT request between hosts with the endpoint's build, URI-encoded. The
 * relay's list may have another start of the endpoint already.
 */
export const TUNNEL_BUILD_HEADER = 'endpoint-build';

/**
 * Header of a CONNECT request between hosts for a call to the endpoint itself, which may
 * be leaving: a call gives it no request.
 */
export const TUNNEL_CALL_HEADER = 'endpoint-call';

/** Header of a CONNECT request between hosts with an identifier for the tunnel. */
export const TUNNEL_ID_HEADER = 'tunnel-id';

/**
 * Path prefix of a request between hosts: 204 if the tunnel with the identifier
 * that follows was ended by its endpoint.
 */
export const TUNNEL_END_PATH = '/tunnel-ends/';

/** Response status to a CONNECT request between hosts. */
export enum TunnelStatus {
  /** The connection to the endpoint is open, and bytes are relayed from now on. */
  Open = 200,
  /**
   * The relay's list has no such endpoint, has it as leaving and this is no call, or has it
   * with another build.
   */
  EndpointUnknown = 404,
  /** The endpoint has asked the relay for rest; other relays may reach it. */
  EndpointAtRest = 429,
  /** The endpoint did not accept a connection from the relay. */
  EndpointUnreachable = 502,
  /**
   * The relay is full or stopping, lacks what a connection takes, or does not reach the
   * endpoint's service.
   */
  Unavailable = 503,
}
