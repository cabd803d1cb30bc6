import {
  hostShortageOf,
  NetworkTimeout,
  type HostShortage,
} from '@wisteriadeal/platform';
import {connect} from 'node:net';

import type {EndpointAddress} from './endpoint-connection-pool.js';

/** How a connect that sends nothing ended. */
export enum ConnectTrialEnd {
  Accepted = 'accepted',
  /** Nothing listens at the address. */
  Refused = 'refused',
  /** No answer came in time, this host could not begin it, or it was closed. */
  Unknown = 'unknown',
}

/** Result of a connect that sends nothing. */
export interface ConnectTrialResult {
  readonly end: ConnectTrialEnd;
  /** On the monotonic clock, milliseconds. */
  readonly startedAt: number;
  /** Reason of a failure; empty if the connect was accepted. */
  readonly reason: string;
  /** What this host itself lacked; undefined if the failure isn't its own. */
  readonly shortage: HostShortage | undefined;
}

/**
 * A connect to an endpoint that sends nothing. It costs an endpoint less than a
 * status check.
 *
 * @example
 * ```ts
 * const trial = new ConnectTrial(endpoint.entry, 120);
 * const {end} = await trial.result; // ConnectTrialEnd.Refused
 * ```
 */
export class ConnectTrial {
  readonly result: Promise<ConnectTrialResult>;
  private readonly startedAt = performance.now();
  private readonly socket;
  private resolve: (result: ConnectTrialResult) => void = () => undefined;

  constructor({address, port}: EndpointAddress, timeoutMilliseconds: number) {
    this.result = new Promise(resolve => {
      this.resolve = resolve;
    });
    this.socket = connect({host: address, port});
    const timeout = new NetworkTimeout(timeoutMilliseconds, () => {
      this.end(ConnectTrialEnd.Unknown, 'connect timeout');
    });
    this.socket.once('connect', () => {
      this.end(ConnectTrialEnd.Accepted);
    });
    this.socket.once('error', (error: NodeJS.ErrnoException) => {
      const isRefused = error.code === 'ECONNREFUSED';
      this.end(
        isRefused ? ConnectTrialEnd.Refused : ConnectTrialEnd.Unknown,
        error.message,
        hostShortageOf(error),
      );
    });
    this.socket.once('close', () => {
      timeout.close();
    });
  }

  /** Ends the trial. */
  close(): void {
    this.end(ConnectTrialEnd.Unknown, 'closed');
  }

  private end(
    end: ConnectTrialEnd,
    reason = '',
    shortage?: HostShortage,
  ): void {
    this.resolve({end, startedAt: this.startedAt, reason, shortage});
    this.socket.destroy();
  }
}
