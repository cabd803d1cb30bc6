import type {EndpointCrash} from '@wisteriadeal/decisions';
import type {Clock} from '@wisteriadeal/platform';

import {ConnectTrial, ConnectTrialEnd} from '../connect-trial.js';
import type {EndpointAttempt} from '../endpoint-attempt.js';
import type {EndpointConnectionPool} from '../endpoint-connection-pool.js';
import type {KnownEndpoint} from '../known-endpoint.js';
import {PathKind} from '../endpoint-path.js';

/** Dependencies of `CrashDetector`. */
export interface CrashDetectorParts {
  /** Limits the time of a connect. */
  readonly connections: EndpointConnectionPool;
  readonly clock: Clock;
  /** Called for each endpoint that ended while it began to run requests. */
  onCrash(crash: EndpointCrash): void;
}

/**
 * An endpoint whose answer broke off and that is off the list within this time
 * has ended.
 */
const SUSPICION_MILLISECONDS = 10_000;

/**
 * Finds out which broken answers are the end of their endpoint. An answer alone
 * may be lost, garbled or reset by an endpoint that lives; one that has ended
 * refuses connections, and disappears from the list.
 */
export class CrashDetector {
  private readonly running = new Map<string, Set<EndpointAttempt>>();
  /** Endpoints that may have ended, and what they had just begun to run. */
  private readonly suspicions = new Map<string, EndpointCrash>();
  private readonly trials = new Set<ConnectTrial>();

  constructor(private readonly parts: CrashDetectorParts) {}

  /** Records that a request is sent to an endpoint. */
  attemptBegan(attempt: EndpointAttempt): void {
    const id = attempt.endpoint.incarnation;
    const attempts = this.running.get(id) ?? new Set();
    this.running.set(id, attempts.add(attempt));
  }

  /** Records that an attempt has ended. */
  attemptEnded(attempt: EndpointAttempt): void {
    const id = attempt.endpoint.incarnation;
    const attempts = this.running.get(id);
    attempts?.delete(attempt);
    if (attempts?.size === 0) {
      this.running.delete(id);
    }
  }

  /** Examines an endpoint that broke an answer off. */
  answerBroke({endpoint, exchange, path}: EndpointAttempt): void {
    const id = endpoint.incarnation;
    this.dropOldSuspicions();
    const now = this.parts.clock.monotonicMilliseconds();
    // A cold endpoint may have ended because it got too many requests.
    const mayBeOverload = endpoint.warmth.isStatedCold(now);
    if (exchange.wasCancelled || mayBeOverload || this.suspicions.has(id)) {
      return;
    }
    const begun = [...(this.running.get(id) ?? [])].filter(
      ({hasJustBegun}) => hasJustBegun,
    );
    const subjects = new Set(begun.flatMap(({identity}) => identity.subjects));
    if (subjects.size === 0) {
      return;
    }
    this.suspicions.set(id, {endpoint: id, at: now, subjects: [...subjects]});
    if (path.kind === PathKind.Direct) {
      void this.examine(endpoint);
    }
  }

  /** Records that an endpoint is off the list. */
  endpointGone(incarnation: string): void {
    this.dropOldSuspicions();
    this.confirm(incarnation);
  }

  /** Records that an endpoint was at work at a time, on the monotonic clock. */
  endpointLived(incarnation: string, at: number): void {
    if (at > (this.suspicions.get(incarnation)?.at ?? Infinity)) {
      this.suspicions.delete(incarnation);
    }
  }

  /** Ends all examinations. */
  close(): void {
    for (const trial of this.trials) {
      trial.close();
    }
  }

  private async examine({entry, incarnation}: KnownEndpoint): Promise<void> {
    const {connections} = this.parts;
    const trial = new ConnectTrial(
      entry,
      connections.connectTimeoutMilliseconds,
    );
    this.trials.add(trial);
    const {end} = await trial.result;
    this.trials.delete(trial);
    if (end === ConnectTrialEnd.Refused) {
      this.confirm(incarnation);
    } else if (end === ConnectTrialEnd.Accepted) {
      this.suspicions.delete(incarnation);
    }
  }

  private confirm(id: string): void {
    const crash = this.suspicions.get(id);
    if (crash !== undefined) {
      this.suspicions.delete(id);
      this.parts.onCrash(crash);
    }
  }

  private dropOldSuspicions(): void {
    const oldest =
      this.parts.clock.monotonicMilliseconds() - SUSPICION_MILLISECONDS;
    for (const [id, {at}] of this.suspicions) {
      if (at < oldest) {
        this.suspicions.delete(id);
      }
    }
  }
}
