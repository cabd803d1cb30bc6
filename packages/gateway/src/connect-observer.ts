import type {HostShortage} from '@wisteriadeal/platform';

import type {EndpointEntry} from './endpoint-entry.js';

/** A connect that failed. */
export interface ConnectFailure {
  /** Monotonic clock, milliseconds. */
  readonly startedAt: number;
  readonly reason: string;
  /** What this host itself lacked; undefined if the failure isn't its own. */
  readonly shortage: HostShortage | undefined;
}

/** Observes this host's connects to endpoints. */
export abstract class ConnectObserver {
  /**
   * Records that a connection was opened.
   *
   * @param startedAt Monotonic clock, milliseconds.
   */
  abstract connected(endpoint: EndpointEntry, startedAt: number): void;

  /**
   * Records that an endpoint refused a connect or did not accept it in time, or that this
   * host could not begin it.
   */
  abstract connectFailed(
    endpoint: EndpointEntry,
    failure: ConnectFailure,
  ): void;

  /** Records that an endpoint has ended the last connection to it, without notice. */
  abstract connectionsLost(endpoint: EndpointEntry): void;
}
