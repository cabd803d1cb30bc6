import {ConnectTrial, ConnectTrialEnd} from './connect-trial.js';
import type {EndpointConnectionPool} from './endpoint-connection-pool.js';
import type {EndpointDirectory} from './endpoint-directory.js';
import type {KnownEndpoint} from './known-endpoint.js';
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
 * a service.
 */
export class ConnectTrials {
  private readonly startedAt = new Map<string, number>();
  private running = new Set<ConnectTrial>();

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
      void this.connectTo(entry);
    }
  }

  /** Ends all trials. */
  close(): void {
    const {running} = this;
    this.running = new Set();
    for (const trial of running) {
      trial.close();
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

  private async connectTo(endpoint: EndpointEntry): Promise<void> {
    const {connections} = this.parts;
    const trial = new ConnectTrial(
      endpoint,
      connections.connectTimeoutMilliseconds,
    );
    this.running.add(trial);
    const result = await trial.result;
    if (!this.running.delete(trial)) {
      return;
    }
    if (result.end === ConnectTrialEnd.Accepted) {
      connections.recordConnect(endpoint, result.startedAt);
    } else {
      connections.recordConnectFailure(endpoint, result);
    }
  }
}
