import type {Clock} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';

import type {CallerExchange} from '../caller-exchange.js';
import {RequestStage} from './request-progress.js';

/** The requests that were read and have not ended. */
export class OpenRequests {
  private readonly callers = new Set<CallerExchange>();
  private onIdle: (() => void) | undefined;

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
  }

  /** Removes a request to whose caller nothing more can be sent. */
  remove(caller: CallerExchange): void {
    this.callers.delete(caller);
    if (this.callers.size === 0) {
      this.onIdle?.();
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
}

function stageOf({isAnswering, progress}: CallerExchange): RequestStage {
  return isAnswering ? RequestStage.Answer : progress.stage;
}
