import {
  DecisionKind,
  type Decision,
  type EndpointDescription,
  type EngineLoadReport,
  type LoadCore,
  type RefuseDecision,
  type WorkItem,
  type WorkResult,
} from '@wisteriadeal/decisions';
import type {Clock} from '@wisteriadeal/platform';
import {Err, Ok, type Result} from '@wisteriadeal/runtime';

import type {Placement} from './request-state.js';

/** Final result of a placement request. */
export type PlacementResult = Result<Placement, RefuseDecision | 'withdrawn'>;

/**
 * Delivers the decisions of the load core, which does no I/O, to the waiting
 * requests, and advances the core when its next timer is due.
 */
export class LoadDispatcher {
  private readonly waiting = new Map<
    string,
    (placement: PlacementResult) => void
  >();
  private wakeTimer = new AbortController();

  constructor(
    private readonly core: LoadCore,
    private readonly clock: Clock,
  ) {}

  /** Number of requests that wait for an endpoint. */
  get queued(): number {
    return this.waiting.size;
  }

  /**
   * Offers a work item and waits until it is placed, refused or withdrawn.
   *
   * @param signal Withdraws the item when aborted.
   */
  place(item: WorkItem, signal: AbortSignal): Promise<PlacementResult> {
    const placement = new Promise<PlacementResult>(resolve => {
      this.waiting.set(item.requestId, resolve);
    });
    this.applyDecisions([this.core.offer(item, this.now())]);
    const withdraw = () => {
      this.withdraw(item.requestId);
    };
    signal.addEventListener('abort', withdraw, {once: true});
    if (signal.aborted) {
      withdraw();
    }
    return placement.finally(() => {
      signal.removeEventListener('abort', withdraw);
    });
  }

  /** Reports that the endpoint began to answer. */
  firstToken(requestId: string): void {
    this.core.firstToken(requestId, this.now());
  }

  /** Reports that placed work has ended, with any outcome. */
  finished(requestId: string, result: WorkResult): void {
    this.applyDecisions(this.core.finished(requestId, result, this.now()));
  }

  /** Replaces the list of endpoints. */
  updateEndpoints(endpoints: readonly EndpointDescription[]): void {
    this.applyDecisions(this.core.updateEndpoints(endpoints, this.now()));
  }

  /** Passes on an engine's load report. */
  report(endpoint: string, report: EngineLoadReport): void {
    this.applyDecisions(this.core.report(endpoint, report, this.now()));
  }

  /** Stops the timer that advances the core. */
  close(): void {
    this.wakeTimer.abort();
  }

  private withdraw(requestId: string): void {
    const resolve = this.waiting.get(requestId);
    if (resolve !== undefined) {
      this.waiting.delete(requestId);
      resolve(Err('withdrawn'));
      this.applyDecisions(this.core.withdraw(requestId, this.now()));
    }
  }

  private now(): number {
    return this.clock.monotonicMilliseconds();
  }

  private applyDecisions(decisions: readonly Decision[]): void {
    for (const decision of decisions) {
      const resolve = this.waiting.get(decision.requestId);
      if (decision.kind === DecisionKind.Queue) {
        continue;
      }
      this.waiting.delete(decision.requestId);
      resolve?.(
        decision.kind === DecisionKind.Place
          ? Ok({endpoint: decision.endpoint})
          : Err(decision),
      );
    }
    this.scheduleWake();
  }

  private scheduleWake(): void {
    this.wakeTimer.abort();
    const wakeAt = this.core.nextWakeAt();
    if (wakeAt === undefined) {
      return;
    }
    const wakeTimer = new AbortController();
    this.wakeTimer = wakeTimer;
    const delay = Math.max(0, wakeAt - this.now());
    void this.clock.sleep(delay, wakeTimer.signal).then(() => {
      if (!wakeTimer.signal.aborted) {
        this.applyDecisions(this.core.advance(this.now()));
      }
    });
  }
}
