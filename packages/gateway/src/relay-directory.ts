import {
  chooseRelay,
  DataCenterCircuitBreaker,
  EndpointCircuitBreaker,
  type RelayCandidate,
} from '@wisteriadeal/decisions';
import type {Clock} from '@wisteriadeal/platform';

/** Another host that may relay connections. */
export interface PeerHost {
  /** `IP:port` of its server for other hosts. */
  readonly address: string;
  /** Empty if unknown. */
  readonly dataCenter: string;
}

/** A host, and what this host has observed of it as a relay to one service. */
export class Relay {
  readonly breaker = new EndpointCircuitBreaker();
  /** Number of this host's open connections through it. */
  openConnections = 0;
  /**
   * Endpoints that it did not reach since its last success, with the time on
   * the monotonic clock in milliseconds.
   */
  readonly failedEndpoints = new Map<string, number>();

  constructor(readonly host: PeerHost) {}
}

/**
 * Endpoints that a relay has to fail to reach before it counts as cut off itself; it may
 * not have noticed that yet.
 */
const MAXIMUM_FAILED_ENDPOINTS = 2;
/** A relay that did not reach an endpoint comes last for this time. */
const DOUBT_MILLISECONDS = 1_000;

interface Candidate extends RelayCandidate {
  readonly relay: Relay;
}

/** Dependencies of `RelayDirectory`. */
export interface RelayDirectoryParts {
  /** Lists the hosts that may relay: all others in the region. */
  readonly peers: () => readonly PeerHost[];
  readonly dataCenter: string;
  readonly clock: Clock;
  /** Returns random numbers in [0, 1). */
  readonly fraction: () => number;
}

/**
 * The hosts that may relay connections to one service. Hosts that can't are skipped for
 * a while, and data centres in which several can't come last.
 */
export class RelayDirectory {
  private relays = new Map<string, Relay>();
  /** No data centre is exempt: that of this host may have lost its paths as a whole. */
  private readonly dataCenters = new DataCenterCircuitBreaker('');

  constructor(private readonly parts: RelayDirectoryParts) {}

  /**
   * Chooses a relay for the next connection; undefined if none is available. Its result
   * must be recorded by exactly one of the following calls.
   *
   * @param tried Relays that have already failed for this connection.
   */
  choose(tried: ReadonlySet<Relay>): Relay | undefined {
    this.updateRelays();
    const {dataCenter, fraction} = this.parts;
    const candidates = [...this.relays.values()]
      .filter(relay => !tried.has(relay))
      .map(relay => this.candidate(relay));
    const relay = chooseRelay(candidates, dataCenter, fraction)?.relay;
    if (relay !== undefined) {
      relay.breaker.requestSent();
      this.dataCenters.requestSent(relay.host.dataCenter);
    }
    return relay;
  }

  /** Records that a relay reaches the service. */
  recordSuccess({breaker, host, failedEndpoints}: Relay): void {
    failedEndpoints.clear();
    breaker.recordSuccess();
    this.dataCenters.recordResponse(host.dataCenter);
  }

  /** Records that a relay can't be reached, is full or does not reach the service. */
  recordFailure({breaker, host}: Relay): void {
    const now = this.now();
    breaker.recordConnectionFailure(now);
    this.dataCenters.requestEnded(host.dataCenter);
    this.dataCenters.recordSilence(host.dataCenter, host.address, now);
  }

  /**
   * Records that a relay did not reach an endpoint: either the endpoint is down or
   * the relay is cut off as well.
   */
  recordEndpointFailure(relay: Relay, endpoint: string): void {
    const {breaker, host, failedEndpoints} = relay;
    const now = this.now();
    for (const [failed, at] of failedEndpoints) {
      if (now - at >= DOUBT_MILLISECONDS) {
        failedEndpoints.delete(failed);
      }
    }
    failedEndpoints.set(endpoint, now);
    if (failedEndpoints.size >= MAXIMUM_FAILED_ENDPOINTS) {
      this.recordFailure(relay);
    } else {
      breaker.requestEnded();
      this.dataCenters.requestEnded(host.dataCenter);
    }
  }

  private candidate(relay: Relay): Candidate {
    const {host, breaker, openConnections, failedEndpoints} = relay;
    const now = this.now();
    const hasFailed = [...failedEndpoints.values()].some(
      at => now - at < DOUBT_MILLISECONDS,
    );
    return {
      relay,
      address: host.address,
      dataCenter: host.dataCenter,
      openConnections,
      isAvailable: breaker.isAvailable(now),
      isDoubtful:
        hasFailed || !this.dataCenters.isAvailable(host.dataCenter, now),
    };
  }

  private updateRelays(): void {
    this.relays = new Map(
      this.parts
        .peers()
        .map(host => [
          host.address,
          this.relays.get(host.address) ?? new Relay(host),
        ]),
    );
  }

  private now(): number {
    return this.parts.clock.monotonicMilliseconds();
  }
}
