/** Whether a host can open connections to the endpoints of a service. */
export enum ReachState {
  Reachable = 'reachable',
  /** The host's own paths to the endpoints are missing. */
  Unreachable = 'unreachable',
}

/** An attempt of a host to connect to an endpoint. */
export interface ConnectAttempt {
  readonly endpoint: string;
  /** Monotonic clock, milliseconds. */
  readonly startedAt: number;
  /** Monotonic clock, milliseconds. */
  readonly endedAt: number;
}

/** Decides from a host's connects whether it reaches a service at all. */
export abstract class ReachPolicy {
  /** The current state. */
  abstract get state(): ReachState;

  /**
   * Records that a connection was opened.
   *
   * @param endpointCount Number of the service's endpoints.
   */
  abstract recordConnect(attempt: ConnectAttempt, endpointCount: number): void;

  /**
   * Records that an endpoint refused a connect or did not accept it in time.
   *
   * @param endpointCount Number of the service's endpoints.
   */
  abstract recordConnectFailure(
    attempt: ConnectAttempt,
    endpointCount: number,
  ): void;

  /** Records data from any of the service's endpoints on an open connection. */
  abstract recordData(now: number): void;

  /**
   * Whether connections that were opened earlier still work although no new
   * ones can be opened.
   *
   * @param now Monotonic clock, milliseconds.
   */
  abstract keepsConnections(now: number): boolean;
}

/** Baseline policy: each endpoint is judged on its own. */
export class AlwaysReachable extends ReachPolicy {
  override readonly state = ReachState.Reachable;

  override recordConnect(): void {
    // The state does not depend on connects.
  }

  override recordConnectFailure(): void {
    // The state does not depend on connects.
  }

  override recordData(): void {
    // The state does not depend on data.
  }

  override keepsConnections(): boolean {
    return true;
  }
}

/**
 * Number of endpoints that have to fail with no successful connect between
 * them. Fewer may have crashed together.
 */
export const MINIMUM_FAILED_ENDPOINTS = 3;
/** Number of endpoints that have to accept a connect before the path is back. */
export const MINIMUM_CONNECTED_ENDPOINTS = 2;
/**
 * Older failures are not counted: while requests reuse open connections, two
 * crashes that are minutes apart may have no connect between them.
 */
const FAILURE_WINDOW_MILLISECONDS = 2_000;
/** Data on open connections shows that they work for this time. */
const DATA_VALIDITY_MILLISECONDS = 1_000;

/**
 * Considers a service unreachable once connects to several of its endpoints
 * have failed in a row.
 *
 * When a host loses its paths to all endpoints, judging each endpoint on its
 * own would repeat the same failing connects for every request and refuse it,
 * although other hosts reach the endpoints. Requests on open connections are no
 * evidence of a path: a reset closes such connections, and where only new ones
 * are refused they go on working.
 *
 * @example
 * ```ts
 * const reach = new ReachByConnects();
 * reach.recordConnectFailure({endpoint, startedAt, endedAt}, endpoints.length);
 * if (reach.state === ReachState.Unreachable) {
 *   // Send the request through another host.
 * }
 * ```
 */
export class ReachByConnects extends ReachPolicy {
  private currentState = ReachState.Reachable;
  /** The last failures of endpoints since the last successful connect. */
  private readonly failures = new Map<string, ConnectAttempt>();
  /** While unreachable, endpoints that accepted a connect since the last failure. */
  private readonly connected = new Set<string>();
  private lastSuccessStartedAt = -Infinity;
  private unreachableSince = Infinity;
  private lastDataAt = -Infinity;

  override get state(): ReachState {
    return this.currentState;
  }

  override recordConnect(attempt: ConnectAttempt, endpointCount: number): void {
    this.lastSuccessStartedAt = Math.max(
      this.lastSuccessStartedAt,
      attempt.startedAt,
    );
    this.failures.clear();
    if (this.currentState === ReachState.Reachable) {
      return;
    }
    this.connected.add(attempt.endpoint);
    const required = Math.min(MINIMUM_CONNECTED_ENDPOINTS, endpointCount);
    if (this.connected.size >= required) {
      this.connected.clear();
      this.currentState = ReachState.Reachable;
      this.unreachableSince = Infinity;
    }
  }

  override recordConnectFailure(
    attempt: ConnectAttempt,
    endpointCount: number,
  ): void {
    // A connect that was started later has already shown that there is a path.
    if (attempt.startedAt < this.lastSuccessStartedAt) {
      return;
    }
    this.connected.clear();
    this.failures.set(attempt.endpoint, attempt);
    this.removeOldFailures(attempt.endedAt);
    const required = Math.min(MINIMUM_FAILED_ENDPOINTS, endpointCount);
    if (this.failures.size >= required) {
      this.currentState = ReachState.Unreachable;
      this.unreachableSince = Math.min(
        this.unreachableSince,
        ...[...this.failures.values()].map(({startedAt}) => startedAt),
      );
    }
  }

  override recordData(now: number): void {
    this.lastDataAt = now;
  }

  override keepsConnections(now: number): boolean {
    return (
      this.currentState === ReachState.Reachable ||
      (this.lastDataAt > this.unreachableSince &&
        now - this.lastDataAt < DATA_VALIDITY_MILLISECONDS)
    );
  }

  private removeOldFailures(now: number): void {
    for (const [endpoint, {endedAt}] of this.failures) {
      if (now - endedAt > FAILURE_WINDOW_MILLISECONDS) {
        this.failures.delete(endpoint);
      }
    }
  }
}
