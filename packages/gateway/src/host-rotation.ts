import {HeaviestCallers, type RotationPolicy} from '@wisteriadeal/decisions';
import type {EventLog} from '@wisteriadeal/runtime';

import type {WithdrawalAllowance} from './rotation/index.js';

/** The host's load. */
export interface HostLoad {
  /** Whether callers send more than the host's link carries. */
  readonly isLinkOverloaded: boolean;
  /** Whether the event loop has no capacity left. */
  readonly isLoopSaturated: boolean;
  /** Connections that callers have opened since the host started. */
  readonly connections: number;
}

/** Dependencies of `HostRotation`. */
export interface RotationParts {
  readonly policy: RotationPolicy;
  readonly events: EventLog;
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  /** Random number from 0 to below 1. */
  readonly fraction: () => number;
  /**
   * Limits withdrawals for a saturated event loop. A withdrawal for the link is
   * not limited. By default neither is.
   */
  readonly loopAllowance?: () => WithdrawalAllowance;
  /** Called with the new state after each change. */
  readonly onChange?: (state: string) => void;
}

/**
 * Takes this host out of the load balancer's rotation and back, by the given
 * policy.
 *
 * @example
 * ```ts
 * rotation.observe({isLinkOverloaded, isLoopSaturated, connections});
 * response.statusCode = rotation.acceptsConnections ? 200 : 503;
 * rotation.recordProbe(rotation.acceptsConnections);
 * ```
 */
export class HostRotation {
  private wasLoopSaturated = false;
  private isWaitingForTurn = false;
  private readonly callers = new HeaviestCallers();

  constructor(private readonly parts: RotationParts) {}

  /** Whether the event loop had no capacity left at the last observation. */
  get isLoopSaturated(): boolean {
    return this.wasLoopSaturated;
  }

  /** Whether the load balancer may send new connections. */
  get acceptsConnections(): boolean {
    return this.parts.policy.acceptsConnections;
  }

  /** Name of the rotation state, for operators. */
  get state(): string {
    return this.parts.policy.state;
  }

  /** Whether answers that start now close their connections. */
  get closesConnections(): boolean {
    return this.parts.policy.closesConnections;
  }

  /**
   * Records a request.
   *
   * @param caller The caller's API key; empty if it has none.
   */
  recordRequest(caller: string): void {
    this.callers.record(caller, this.parts.now());
  }

  /**
   * Draws whether an answer that starts now closes its connection; the heaviest
   * callers come first.
   */
  drawsClose(caller = ''): boolean {
    const {policy, now, fraction} = this.parts;
    const share = policy.closingShare(now());
    return share > 0 && this.callers.closes(caller, share, fraction(), now());
  }

  /** Records the answer to a readiness probe. */
  recordProbe(isReady: boolean): void {
    this.parts.policy.recordProbe(this.parts.now(), isReady);
  }

  /**
   * Updates the state from the current load; must be called several times a
   * second.
   */
  observe(load: HostLoad): void {
    const {policy, events, now} = this.parts;
    const {isLinkOverloaded, isLoopSaturated, connections} = load;
    const previousState = policy.state;
    this.wasLoopSaturated = isLoopSaturated;
    const allowance = this.allowanceFor(load);
    policy.observe(now(), {
      isOverloaded: isLinkOverloaded || isLoopSaturated,
      connections,
      ...allowance,
    });
    this.logWaiting(load, allowance);
    if (policy.state !== previousState) {
      this.parts.onChange?.(policy.state);
      events.info('rotation state changed', {
        from: previousState,
        to: policy.state,
        ...load,
        ...allowance,
      });
    }
  }

  /** The limit on the absence; undefined if there is none, or no need for one. */
  private allowanceFor({
    isLinkOverloaded,
    isLoopSaturated,
  }: HostLoad): WithdrawalAllowance | undefined {
    const isConcerned = isLoopSaturated || !this.acceptsConnections;
    return isConcerned && !isLinkOverloaded
      ? this.parts.loopAllowance?.()
      : undefined;
  }

  /** Logs once that a saturated host has to wait for its turn. */
  private logWaiting(
    {isLoopSaturated, connections}: HostLoad,
    allowance: WithdrawalAllowance | undefined,
  ): void {
    const isWaiting =
      isLoopSaturated &&
      this.acceptsConnections &&
      allowance?.maximumAbsenceMilliseconds === 0;
    if (isWaiting && !this.isWaitingForTurn) {
      this.parts.events.info('saturated host stays in rotation', {
        connections,
        ...allowance,
      });
    }
    this.isWaitingForTurn = isWaiting;
  }
}
