import {StopAdmission} from '@wisteriadeal/decisions';
import type {Clock} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';

import type {CallerExchange} from '../caller-exchange.js';
import {RequestStage} from './request-progress.js';

/**
 * The requests that were read and have not ended. While the process stops, it decides
 * which of them may still be sent to endpoints.
 */
export class OpenRequests {
  private readonly callers = new Set<CallerExchange>();
  private onIdle: (() => void) | undefined;
  private stop = new StopAdmission(Infinity, Infinity);
  private hasCut = false;

  constructor(
    private readonly clock: Clock,
    private readonly events: EventLog,
  ) {}

  /** Number of open requests. */
  get count(): number {
    return this.callers.size;
  }

  /**
   * Number of open requests at each stage that has any.
   *
   * @example
   * ```ts
   * requests.stages; // 'body 1, tokens 3'
   * ```
   */
  get stages(): string {
    const counts = new Map<RequestStage, number>();
    for (const caller of this.callers) {
      const stage = stageOf(caller);
      counts.set(stage, (counts.get(stage) ?? 0) + 1);
    }
    return Object.values(RequestStage)
      .filter(stage => counts.has(stage))
      .map(stage => `${stage} ${counts.get(stage) ?? 0}`)
      .join(', ');
  }

  /** Adds a request that was read. */
  add(caller: CallerExchange): void {
    this.callers.add(caller);
    if (this.hasCut) {
      caller.progress.withdraw();
    }
  }

  /** Removes a request to whose caller nothing more can be sent. */
  remove(caller: CallerExchange): void {
    this.callers.delete(caller);
    if (this.callers.size === 0) {
      this.onIdle?.();
    }
  }

  /**
   * Whether a request that is sent to an endpoint now is expected to end before the
   * graceful stop does. To be asked after each wait: the answer changes with time.
   *
   * @param isRepeatable Whether it may run more than once; if it was sent before, it is
   *     repeated until the stop cuts what still runs.
   */
  mayBeSent({progress}: CallerExchange, isRepeatable = false): boolean {
    const now = this.clock.monotonicMilliseconds();
    const {deadlineAt, typicalMilliseconds} = progress.duration ?? {
      deadlineAt: now,
    };
    const maximumMilliseconds = deadlineAt - now;
    return (
      !progress.isWithdrawn &&
      ((isRepeatable && progress.wasSent) ||
        this.stop.admits(now, {
          typicalMilliseconds: typicalMilliseconds ?? maximumMilliseconds,
          maximumMilliseconds,
        }))
    );
  }

  /** Withdraws, now and at the end of the notice period, what `stop` does not admit. */
  beginStop(stop: StopAdmission): void {
    this.stop = stop;
    this.withdrawLate();
    void this.withdrawLateAt(stop.noticePeriodEndsAt);
  }

  /** Withdraws what was not sent, and what comes from now on. */
  cut(): void {
    this.hasCut = true;
    for (const {progress} of this.callers) {
      progress.withdraw();
    }
  }

  /** Resolves when no request is open; new ones may still be added. */
  async idle(): Promise<void> {
    if (this.callers.size > 0) {
      await new Promise<void>(resolve => {
        this.onIdle = resolve;
      });
    }
  }

  /**
   * Logs each open request.
   *
   * @param step The step of a graceful stop at which they are open.
   */
  logOpen(step: string): void {
    const now = this.clock.monotonicMilliseconds();
    for (const caller of this.callers) {
      this.events.info('request open at stop', {
        step,
        request: caller.headers.attemptId,
        path: caller.path,
        stage: stageOf(caller),
        ageMilliseconds: Math.round(now - caller.estimatedArrivalAt),
        wasSent: caller.progress.wasSent,
      });
    }
  }

  private async withdrawLateAt(at: number): Promise<void> {
    const remaining = at - this.clock.monotonicMilliseconds();
    await this.clock.sleep(Math.max(0, remaining));
    this.withdrawLate();
  }

  /** Refuses requests at once whose wait can't end in time. */
  private withdrawLate(): void {
    for (const caller of this.callers) {
      const {duration, wasSent} = caller.progress;
      if (duration !== undefined && !wasSent && !this.mayBeSent(caller)) {
        caller.progress.withdraw();
      }
    }
  }
}

function stageOf({isAnswering, progress}: CallerExchange): RequestStage {
  return isAnswering ? RequestStage.Answer : progress.stage;
}
