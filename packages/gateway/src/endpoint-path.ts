import type {
  DataCenterCircuitBreaker,
  EndpointCircuitBreaker,
  StreamOrigin,
} from '@wisteriadeal/decisions';

import type {EndpointConnectionPool} from './endpoint-connection-pool.js';
import type {KnownEndpoint} from './known-endpoint.js';

/** How connections get to an endpoint, as it appears in logs. */
export enum PathKind {
  /** Opened by this host. */
  Direct = 'direct',
  /** Opened by another host, which relays them. */
  Relayed = 'relayed',
}

/**
 * A way to the endpoints of a service, with what was observed over it. A path
 * that is lost must not make its endpoints look as if they had failed.
 */
export abstract class EndpointPath {
  abstract readonly kind: PathKind;

  constructor(
    readonly connections: EndpointConnectionPool,
    readonly dataCenters: DataCenterCircuitBreaker,
  ) {}

  /** The endpoint's circuit breaker for requests over this path. */
  abstract breakerOf(endpoint: KnownEndpoint): EndpointCircuitBreaker;

  /**
   * Whether requests may be sent to the endpoint, as far as failures over this path tell.
   *
   * @param now Monotonic clock, milliseconds.
   */
  isAvailable(endpoint: KnownEndpoint, now: number): boolean {
    return (
      this.breakerOf(endpoint).isAvailable(now) &&
      this.dataCenters.isAvailable(endpoint.entry.dataCenter, now)
    );
  }

  /**
   * What answered over this path at a time on the monotonic clock, milliseconds;
   * undefined if it is not known.
   */
  abstract originOf(
    endpoint: KnownEndpoint,
    at: number,
  ): StreamOrigin | undefined;

  /** Whether no reading of the list can change what answered over this path at a time. */
  abstract isConfirmed(endpoint: KnownEndpoint, at: number): boolean;

  /** Whether a connection to an endpoint is open for which it is known what answers. */
  abstract hasProvenConnection(endpoint: KnownEndpoint): boolean;
}

/** The path by which this host itself connects to endpoints. */
export class DirectPath extends EndpointPath {
  override readonly kind = PathKind.Direct;

  override breakerOf(endpoint: KnownEndpoint): EndpointCircuitBreaker {
    return endpoint.breaker;
  }

  override originOf(
    endpoint: KnownEndpoint,
    at: number,
  ): StreamOrigin | undefined {
    return endpoint.originAt(at);
  }

  override isConfirmed(endpoint: KnownEndpoint, at: number): boolean {
    return endpoint.isConfirmedAt(at);
  }

  override hasProvenConnection(endpoint: KnownEndpoint): boolean {
    const since = this.connections.open.runningProcessSince(endpoint.entry);
    return since !== undefined && endpoint.isConfirmedAt(since);
  }
}

/** A path through other hosts. */
export class RelayedPath extends EndpointPath {
  override readonly kind = PathKind.Relayed;

  override breakerOf(endpoint: KnownEndpoint): EndpointCircuitBreaker {
    return endpoint.relayedBreaker;
  }

  /** Connects that this host's own path refuses are no end of an endpoint. */
  override originOf(
    endpoint: KnownEndpoint,
    at: number,
  ): StreamOrigin | undefined {
    return endpoint.listedOriginAt(at);
  }

  /** The relay goes by what it knows of the endpoint. */
  override isConfirmed(): boolean {
    return true;
  }

  override hasProvenConnection(): boolean {
    return true;
  }
}
