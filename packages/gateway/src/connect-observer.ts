import type {HostShortage} from '@wisteriadeal/platform';

import type {EndpointEntry} from './endpoint-entry.js';

/** Observes this host's connects to endpoints. */
export abstract class ConnectObserver {
  /**
   * Records that a connection was opened.
   *
   * @param startedAt Monotonic clock, milliseconds.
   */
  abstract connected(endpoint: EndpointEntry, startedAt: number): void;

  /**
   * Records that an endpoint refused a connect or did not accept it in time.
   *
   * @param startedAt Monotonic clock, milliseconds.
   */
  abstract connectFailed(
    endpoint: EndpointEntry,
    startedAt: number,
    reason: string,
  ): void;

  /** Records a connect that failed because this host itself lacks something. */
  abstract connectFailedHere(
    endpoint: EndpointEntry,
    shortage: HostShortage,
    reason: string,
  ): void;

  /** Records that an endpoint has ended the last connection to it, without notice. */
  abstract connectionsLost(endpoint: EndpointEntry): void;
}
