import {StopAdmission} from '@wisteriadeal/decisions';
import type {Clock} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';

import type {BillWriter} from './bill-writer.js';
import type {BudgetHolder} from './budget-holder.js';
import type {CallerServer} from './caller-server.js';
import {nextEventLoopTurn} from './event-loop.js';
import type {RequestHandler} from './request-handler.js';
import type {TunnelServer} from './tunnel-server.js';

/** The components that a graceful stop shuts down. */
export interface StopParts {
  readonly callers: CallerServer;
  readonly handler: RequestHandler;
  readonly budgets: BudgetHolder;
  readonly bills: BillWriter;
  readonly tunnels: TunnelServer;
  readonly clock: Clock;
  readonly events: EventLog;
}

/**
 * Time for the platform to notice that the host is not ready; new connections
 * arrive until then.
 */
const DEREGISTRATION_DELAY_MILLISECONDS = 2_600;
/** Fraction of the grace period after which running requests are cut. */
const CUT_GRACE_FRACTION = 0.85;
/** Time within which cut requests are answered, charged and billed. */
const CUT_SETTLEMENT_MILLISECONDS = 100;
/**
 * Fraction of the grace period for sending answers and returning grants; the
 * rest is left for the process's exit.
 */
const END_GRACE_FRACTION = 0.95;

/**
 * Turns of the event loop in which requests that have just been read are refused, and
 * answers that have just been received are sent.
 */
const ANSWER_TURNS = 20;

/**
 * Shuts a process down gracefully: it serves the callers that connect before
 * the platform has noticed the stop, refuses later ones as not run, finishes
 * running requests and returns its grants. It listens almost to the end: if
 * most hosts of a data centre stop at once, the platform keeps sending callers.
 */
export class GracefulStop {
  private readonly stopRequestedAt: number;
  private readonly deregisteredAt: number;
  private readonly cutAt: number;
  private readonly endAt: number;

  /**
   * @param graceMilliseconds Time from the request to stop until the platform
   *     kills the process.
   * @param stopRequestedMillisecondsAgo How much of that time has passed,
   *     milliseconds.
   */
  constructor(
    private readonly parts: StopParts,
    graceMilliseconds: number,
    stopRequestedMillisecondsAgo: number,
  ) {
    this.stopRequestedAt = this.now() - stopRequestedMillisecondsAgo;
    this.deregisteredAt =
      this.stopRequestedAt + DEREGISTRATION_DELAY_MILLISECONDS;
    this.cutAt = this.stopRequestedAt + graceMilliseconds * CUT_GRACE_FRACTION;
    this.endAt = this.stopRequestedAt + graceMilliseconds * END_GRACE_FRACTION;
  }

  /** Resolves when all work has ended, or the grace period is almost over. */
  async run(): Promise<void> {
    const {callers, handler, budgets, bills, tunnels} = this.parts;
    const stopEnded = new AbortController();
    void this.cutRequestsAtDeadline(stopEnded.signal);
    callers.beginStop();
    tunnels.beginStop();
    handler.beginStop(new StopAdmission(this.deregisteredAt, this.cutAt));
    this.logStep('stopping');
    await this.waitUntil(this.cutAt, this.waitForDeregistration());
    this.logStep('deregistration wait ended');
    const cutEndsAt =
      Math.max(this.cutAt, this.now()) + CUT_SETTLEMENT_MILLISECONDS;
    await this.waitUntil(cutEndsAt, this.waitForRequests());
    this.logStep('requests ended');
    await this.waitUntil(
      this.endAt,
      Promise.all([budgets.close(), bills.flush()]),
    );
    this.logStep('grants returned');
    // Returning grants takes seconds during a store outage, and callers still
    // connect meanwhile.
    await this.waitUntil(this.endAt, this.drainCallers());
    await this.waitUntil(this.endAt, this.writeEnd());
    await this.answerRemaining();
    if (callers.openRequests > 0) {
      callers.logOpenRequests('end');
    }
    this.logStep('stopped');
    stopEnded.abort();
  }

  /** Sleeps in a loop, because a timer may fire slightly early. */
  private async waitForDeregistration(): Promise<void> {
    while (this.now() < this.deregisteredAt) {
      const remaining = this.deregisteredAt - this.now();
      await this.parts.clock.sleep(Math.max(0, Math.ceil(remaining)));
    }
  }

  private async waitForRequests(): Promise<void> {
    const {callers, handler, tunnels} = this.parts;
    await callers.idle();
    await handler.settled();
    // Other hosts send no further requests through tunnels by then.
    await tunnels.idle();
  }

  private async drainCallers(): Promise<void> {
    const {callers, handler} = this.parts;
    await callers.drain();
    await handler.settled();
  }

  private async writeEnd(): Promise<void> {
    const {bills, budgets} = this.parts;
    await bills.close();
    await budgets.checkpointEnd();
  }

  /** Answers requests that a late event loop has only just read. */
  private async answerRemaining(): Promise<void> {
    const {callers} = this.parts;
    for (
      let turn = 0;
      turn < ANSWER_TURNS && callers.openRequests > 0;
      turn++
    ) {
      await nextEventLoopTurn();
    }
  }

  private async cutRequestsAtDeadline(stopEnded: AbortSignal): Promise<void> {
    await this.sleepUntil(this.cutAt, stopEnded);
    if (!stopEnded.aborted) {
      this.parts.callers.logOpenRequests('cut');
      this.parts.handler.cut();
    }
  }

  /**
   * Waits for a promise, but at most until a time on the monotonic clock,
   * milliseconds.
   */
  private async waitUntil(at: number, done: Promise<unknown>): Promise<void> {
    const isDone = new AbortController();
    await Promise.race([done, this.sleepUntil(at, isDone.signal)]);
    isDone.abort();
  }

  /**
   * Sleeps until a time, then for one turn of the event loop: a loop that was
   * blocked runs expired timers before it reads sockets.
   */
  private async sleepUntil(at: number, signal: AbortSignal): Promise<void> {
    const remaining = Math.max(0, at - this.now());
    await this.parts.clock.sleep(remaining, signal);
    await nextEventLoopTurn();
  }

  private logStep(event: string): void {
    const {callers, tunnels, events} = this.parts;
    events.info(event, {
      afterMilliseconds: Math.round(this.now() - this.stopRequestedAt),
      requests: callers.openRequests,
      stages: callers.openStages,
      tunnels: tunnels.openTunnels,
      ...callers.connectionCounts,
    });
  }

  private now(): number {
    return this.parts.clock.monotonicMilliseconds();
  }
}
