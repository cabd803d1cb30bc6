/** The host's own load, and what it observes of the load balancer. */
export interface RotationInput {
  /**
   * Whether the host receives more than it can handle, so that answers would be
   * late or lost.
   */
  readonly isOverloaded: boolean;
  /** Connections that callers have opened since the host started. */
  readonly connections: number;
  /**
   * How much longer the host may be out of the rotation, in milliseconds. Hosts
   * that are overloaded at the same time leave in turns. Not limited if omitted.
   */
  readonly maximumAbsenceMilliseconds?: number;
}

/** A host's state in the load balancer's rotation. */
export enum RotationState {
  /** Accepts new connections. */
  Serving = 'serving',
  /**
   * Reports that it is not ready; the load balancer may not have noticed yet.
   */
  Withdrawing = 'withdrawing',
  /** Receives no new connections, and closes the existing ones. */
  Shedding = 'shedding',
  /**
   * Serves its remaining connections, and is about to accept new ones again.
   */
  Returning = 'returning',
  /**
   * Serves although it is overloaded, because no other host takes its callers.
   */
  Needed = 'needed',
}

/**
 * Decides when a host leaves the load balancer's rotation, and when its
 * connections are closed.
 */
export abstract class RotationPolicy {
  /** The current state. */
  abstract get state(): RotationState;

  /** Whether the load balancer may send new connections. */
  abstract get acceptsConnections(): boolean;

  /** Whether connections are closed after answers that start now. */
  abstract get closesConnections(): boolean;

  /**
   * Share of the answers that start now after which the connection is closed;
   * 0 unless connections are closed.
   *
   * @param now Monotonic clock, in milliseconds.
   */
  abstract closingShare(now: number): number;

  /**
   * Records a readiness probe.
   *
   * @param now Monotonic clock, in milliseconds.
   * @param isReady The response to the probe.
   */
  abstract recordProbe(now: number, isReady: boolean): void;

  /**
   * Updates the state from the current load. Must be called several times a
   * second.
   *
   * @param now Monotonic clock, in milliseconds.
   */
  abstract observe(now: number, input: RotationInput): void;
}

/** Baseline policy: always stays in the rotation. */
export class AlwaysServing extends RotationPolicy {
  override readonly state = RotationState.Serving;
  override readonly acceptsConnections = true;
  override readonly closesConnections = false;

  override closingShare(): number {
    return 0;
  }

  override recordProbe(): void {
    // The state does not depend on probes.
  }

  override observe(): void {
    // The state does not depend on the load.
  }
}

/**
 * Share of answers that close their connection when shedding begins. If all
 * callers left before the overload is seen to end, the next host would get all
 * of them and be overloaded in turn.
 */
const INITIAL_CLOSING_SHARE = 0.25;
/** Time of shedding after which each answer closes its connection, in milliseconds. */
const FULL_CLOSING_MILLISECONDS = 2_000;
/**
 * Number of consecutive "not ready" responses after which the load balancer
 * removes a host.
 */
const REMOVAL_PROBES = 2;
/**
 * Minimum interval between two probes of the load balancer, in milliseconds.
 * Probes of other clients in between are not counted.
 */
const MINIMUM_PROBE_INTERVAL_MILLISECONDS = 800;
/**
 * Time after which the host is assumed to be out of the rotation even if too
 * few probes were seen, in milliseconds. Probes that are delayed by an overload
 * can be missed.
 */
const ASSUMED_REMOVAL_MILLISECONDS = 3_000;
/**
 * Minimum time out of the rotation and in it, in milliseconds. The load balancer
 * checks once a second and removes a host after two checks; it would not see a
 * shorter state.
 */
const MINIMUM_STATE_MILLISECONDS = REMOVAL_PROBES * 1_000;
/**
 * Length of the windows in which new connections are counted, in milliseconds.
 */
const CONNECTION_WINDOW_MILLISECONDS = 1_500;
/**
 * Number of windows to wait for. Connections before the last of them may have
 * been on their way to a host that is already out of the rotation.
 */
const SETTLING_WINDOWS = 3;
/**
 * Time between observations from which the process is considered to have been
 * stalled, in milliseconds.
 */
const STALL_MILLISECONDS = 1_000;
/**
 * A host that is out of the rotation is needed if it still receives this share
 * of its usual connections.
 */
const NEEDED_CONNECTION_SHARE = 0.5;
/**
 * Number of connections per window that a host out of the rotation may receive
 * anyway.
 */
const MAXIMUM_STRAY_CONNECTIONS = 4;
/**
 * Maximum time out of the rotation, in milliseconds. An overload that lasts
 * this long without the host's callers is no reason to stay out.
 */
const MAXIMUM_ABSENCE_MILLISECONDS = 8_000;
/**
 * Minimum time after the end of an overload before the host returns, in
 * milliseconds.
 */
const MINIMUM_RECOVERY_MILLISECONDS = 2_000;
/**
 * Maximum time without overload that is required before a return, in
 * milliseconds, regardless of how often the host was overloaded.
 */
const MAXIMUM_RECOVERY_MILLISECONDS = 4_000;
/**
 * If the host is overloaded again within this time after a return, the required
 * time without overload doubles. In milliseconds.
 */
const RELAPSE_MILLISECONDS = 8_000;
/**
 * Time for which a needed host does not withdraw again, in milliseconds. It
 * doubles each time, up to the maximum.
 */
const MINIMUM_NEEDED_MILLISECONDS = 10_000;
const MAXIMUM_NEEDED_MILLISECONDS = 20_000;

/**
 * Leaves the rotation while the host is overloaded. This applies when all
 * callers of one organisation reach one host and fill its link. If the host
 * stayed in the rotation, refused callers would return on their existing
 * connections, and their requests and retries would keep the host overloaded
 * while other hosts have capacity.
 *
 * Connections are closed only after the load balancer has started to send their
 * callers to other hosts. If new connections continue to arrive, no other host
 * takes them, and the host serves as many as it can.
 *
 * @example
 * ```ts
 * const rotation = new WithdrawWhileOverloaded();
 * rotation.observe(now, {isOverloaded: link.isOverloaded, connections});
 * response.statusCode = rotation.acceptsConnections ? 200 : 503;
 * ```
 */
export class WithdrawWhileOverloaded extends RotationPolicy {
  private currentState = RotationState.Serving;
  private stateSince = -Infinity;
  /** When the host last started to report that it is not ready. */
  private absentSince = -Infinity;
  /** When the host last started to report that it is ready. */
  private presentSince = -Infinity;
  /** Whether the host must return by the end of the turn in which it left. */
  private isAbsenceLimited = false;
  private observedAt = -Infinity;
  private notReadyProbes = 0;
  private lastNotReadyAt = -Infinity;
  private readonly connectionWindows = new ConnectionWindows();
  private usualConnections = 0;
  private recoveredSince: number | undefined;
  private requiredRecoveryMilliseconds = MINIMUM_RECOVERY_MILLISECONDS;
  private neededMilliseconds = MINIMUM_NEEDED_MILLISECONDS;

  override get state(): RotationState {
    return this.currentState;
  }

  override get acceptsConnections(): boolean {
    return (
      this.currentState === RotationState.Serving ||
      this.currentState === RotationState.Needed
    );
  }

  override get closesConnections(): boolean {
    return this.currentState === RotationState.Shedding;
  }

  override closingShare(now: number): number {
    if (!this.closesConnections) {
      return 0;
    }
    const progress = (now - this.stateSince) / FULL_CLOSING_MILLISECONDS;
    return Math.min(
      1,
      INITIAL_CLOSING_SHARE + (1 - INITIAL_CLOSING_SHARE) * progress,
    );
  }

  override recordProbe(now: number, isReady: boolean): void {
    if (isReady) {
      this.notReadyProbes = 0;
      this.lastNotReadyAt = -Infinity;
    } else if (
      now - this.lastNotReadyAt >=
      MINIMUM_PROBE_INTERVAL_MILLISECONDS
    ) {
      this.notReadyProbes++;
      this.lastNotReadyAt = now;
    }
  }

  override observe(now: number, input: RotationInput): void {
    if (now - this.observedAt > STALL_MILLISECONDS) {
      this.connectionWindows.restart(now, input.connections);
    }
    this.observedAt = now;
    this.connectionWindows.observe(now, input.connections);
    this.trackRecovery(now, input.isOverloaded);
    const absence = input.maximumAbsenceMilliseconds ?? Infinity;
    this.isAbsenceLimited &&= absence < Infinity;
    const next = this.isAbsenceOver(now, absence)
      ? RotationState.Serving
      : this.nextState(now, input.isOverloaded, absence);
    if (next !== this.currentState) {
      this.transitionTo(next, now, input);
    }
  }

  private trackRecovery(now: number, isOverloaded: boolean): void {
    if (isOverloaded) {
      this.recoveredSince = undefined;
    } else {
      this.recoveredSince ??= now;
    }
  }

  /** Whether the turn in which the host left is over. */
  private isAbsenceOver(now: number, absence: number): boolean {
    return (
      !this.acceptsConnections &&
      this.isAbsenceLimited &&
      absence <= 0 &&
      now - this.absentSince >= MINIMUM_STATE_MILLISECONDS
    );
  }

  /** Whether the load balancer sees the absence, and has seen the presence. */
  private mayWithdraw(now: number, absence: number): boolean {
    return (
      absence >= MINIMUM_STATE_MILLISECONDS &&
      now - this.presentSince >= MINIMUM_STATE_MILLISECONDS
    );
  }

  private nextState(
    now: number,
    isOverloaded: boolean,
    absence: number,
  ): RotationState {
    switch (this.currentState) {
      case RotationState.Serving:
        return isOverloaded && this.mayWithdraw(now, absence)
          ? RotationState.Withdrawing
          : this.currentState;
      case RotationState.Withdrawing:
        if (!isOverloaded) {
          return RotationState.Returning;
        }
        return this.isOutOfRotation(now)
          ? RotationState.Shedding
          : this.currentState;
      case RotationState.Shedding:
        if (!isOverloaded) {
          return RotationState.Returning;
        }
        return this.isNeeded(now) ? RotationState.Needed : this.currentState;
      case RotationState.Returning:
        if (isOverloaded) {
          return this.isNeeded(now)
            ? RotationState.Needed
            : RotationState.Withdrawing;
        }
        return this.hasRecovered(now)
          ? RotationState.Serving
          : this.currentState;
      case RotationState.Needed:
        return now - this.stateSince >= this.neededMilliseconds
          ? RotationState.Serving
          : this.currentState;
    }
  }

  private transitionTo(
    next: RotationState,
    now: number,
    {connections, maximumAbsenceMilliseconds}: RotationInput,
  ): void {
    const wasPresent = this.acceptsConnections;
    if (this.currentState === RotationState.Serving) {
      this.startWithdrawal(now);
      this.isAbsenceLimited =
        (maximumAbsenceMilliseconds ?? Infinity) < Infinity;
    } else if (this.currentState === RotationState.Needed) {
      this.neededMilliseconds = Math.min(
        MAXIMUM_NEEDED_MILLISECONDS,
        2 * this.neededMilliseconds,
      );
    } else if (this.currentState === RotationState.Returning) {
      this.neededMilliseconds = MINIMUM_NEEDED_MILLISECONDS;
    }
    this.connectionWindows.restart(now, connections);
    this.currentState = next;
    this.stateSince = now;
    if (this.acceptsConnections && !wasPresent) {
      this.presentSince = now;
    }
  }

  /**
   * Records the usual number of connections, and the time without overload that
   * is required before the return.
   */
  private startWithdrawal(now: number): void {
    this.absentSince = now;
    this.usualConnections = this.connectionWindows.lastWindowConnections;
    this.notReadyProbes = 0;
    this.lastNotReadyAt = -Infinity;
    const isRelapse = now - this.stateSince < RELAPSE_MILLISECONDS;
    this.requiredRecoveryMilliseconds = isRelapse
      ? Math.min(
          MAXIMUM_RECOVERY_MILLISECONDS,
          2 * this.requiredRecoveryMilliseconds,
        )
      : MINIMUM_RECOVERY_MILLISECONDS;
  }

  /** Whether the load balancer must have removed the host. */
  private isOutOfRotation(now: number): boolean {
    return (
      this.notReadyProbes >= REMOVAL_PROBES ||
      now - this.stateSince >= ASSUMED_REMOVAL_MILLISECONDS
    );
  }

  /**
   * Whether new connections continue to arrive, so that no other host takes
   * them.
   */
  private isNeeded(now: number): boolean {
    const {lastWindowConnections, completedWindows} = this.connectionWindows;
    if (now - this.absentSince >= MAXIMUM_ABSENCE_MILLISECONDS) {
      return true;
    }
    return (
      completedWindows >= SETTLING_WINDOWS &&
      lastWindowConnections > MAXIMUM_STRAY_CONNECTIONS &&
      lastWindowConnections >= NEEDED_CONNECTION_SHARE * this.usualConnections
    );
  }

  private hasRecovered(now: number): boolean {
    return (
      this.recoveredSince !== undefined &&
      now - this.recoveredSince >= this.requiredRecoveryMilliseconds &&
      now - this.absentSince >= MINIMUM_STATE_MILLISECONDS
    );
  }
}

/** Counts new connections in windows of equal length. */
class ConnectionWindows {
  private startedAt = -Infinity;
  private startConnections = 0;
  private completed = 0;
  private lastCount = 0;

  /** Connections in the last complete window. */
  get lastWindowConnections(): number {
    return this.lastCount;
  }

  /** Complete windows since the last restart. */
  get completedWindows(): number {
    return this.completed;
  }

  restart(now: number, connections: number): void {
    this.startedAt = now;
    this.startConnections = connections;
    this.completed = 0;
  }

  observe(now: number, connections: number): void {
    if (now - this.startedAt >= CONNECTION_WINDOW_MILLISECONDS) {
      this.lastCount = connections - this.startConnections;
      this.startedAt = now;
      this.startConnections = connections;
      this.completed++;
    }
  }
}
