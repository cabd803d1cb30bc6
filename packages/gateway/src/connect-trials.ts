import {NetworkTimeout} from '@wisteriadeal/platform';
import {connect, type Socket} from 'node:net';

import type {EndpointConnectionPool} from './endpoint-connection-pool.js';
import type {EndpointDirectory, KnownEndpoint} from './endpoint-directory.js';
import type {EndpointEntry} from './endpoint-entry.js';

/** Dependencies of `ConnectTrials`. */
export interface ConnectTrialParts {
  readonly directory: EndpointDirectory;
  /** Records the results, and limits the time of a connect. */
  readonly connections: EndpointConnectionPool;
  readonly dataCenter: string;
  /** Returns random numbers in [0, 1). */
  readonly fraction: () => number;
}

/** Minimum time between two trials of a service. */
const TRIAL_INTERVAL_MILLISECONDS = 400;

/**
 * Opens and closes connections to endpoints to find out whether this host still reaches
 * a service. Nothing is sent, so a trial costs an endpoint less than a status check.
 */
export class ConnectTrials {
  private readonly startedAt = new Map<string, number>();
  private readonly sockets = new Set<Socket>();

  constructor(private readonly parts: ConnectTrialParts) {}

  /**
   * Starts a trial, unless the last one began a short time ago. One of the endpoints is
   * in this data centre, if there are any: the others may be cut off as a whole.
   *
   * @param count Number of endpoints that are tried at the same time.
   */
  start(service: string, count: number): void {
    const now = performance.now();
    const last = this.startedAt.get(service) ?? -Infinity;
    if (now - last < TRIAL_INTERVAL_MILLISECONDS) {
      return;
    }
    this.startedAt.set(service, now);
    for (const {entry} of this.chosenEndpoints(service, count)) {
      this.connectTo(entry);
    }
  }

  /** Ends all trials. */
  close(): void {
    for (const socket of this.sockets) {
      socket.destroy();
    }
  }

  private chosenEndpoints(
    service: string,
    count: number,
  ): readonly KnownEndpoint[] {
    const {directory, dataCenter, fraction} = this.parts;
    const shuffled = directory
      .openEndpoints(service)
      .map(endpoint => ({endpoint, order: fraction()}))
      .sort((one, other) => one.order - other.order)
      .map(({endpoint}) => endpoint);
    const local = shuffled.find(({entry}) => entry.dataCenter === dataCenter);
    const others = shuffled.filter(endpoint => endpoint !== local);
    return [...(local === undefined ? [] : [local]), ...others].slice(0, count);
  }

  private connectTo(endpoint: EndpointEntry): void {
    const {connections} = this.parts;
    const startedAt = performance.now();
    const socket = connect({host: endpoint.address, port: endpoint.port});
    const fail = (reason: string) => {
      connections.recordConnectFailure(endpoint, startedAt, reason);
      socket.destroy();
    };
    const timeout = new NetworkTimeout(
      connections.connectTimeoutMilliseconds,
      () => {
        fail('connect timeout');
      },
    );
    this.sockets.add(socket);
    socket.once('connect', () => {
      timeout.close();
      connections.recordConnect(endpoint, startedAt);
      socket.destroy();
    });
    socket.once('error', error => {
      fail(error.message);
    });
    socket.once('close', () => {
      timeout.close();
      this.sockets.delete(socket);
    });
  }
}
