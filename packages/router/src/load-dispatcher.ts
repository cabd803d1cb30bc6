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

import type {Placement} from './request-life.js';

/** What came of an offer in the end. */
export type Placing = Result<Placement, RefuseDecision | 'withdrawn'>;

/**
 * Carries the decisions of the pure core to the requests that wait for them, and
 * wakes the core when it asks to be woken.
 */
export class LoadDispatcher {
  private readonly waiting = new Map<string, (placing: Placing) => void>();
  private wake = new AbortController();

  constructor(
    private readonly core: LoadCore,
    private readonly clock: Clock,
  ) {}

  /** Requests that wait for an endpoint. */
  get queued(): number {
    return this.waiting.size;
  }

  /** Offers work and waits until it is placed, refused or withdrawn. */
  place(item: WorkItem, signal: AbortSignal): Promise<Placing> {
    const placing = new Promise<Placing>(resolve => {
      this.waiting.set(item.requestId, resolve);
    });
    this.carry([this.core.offer(item, this.now())]);
    const withdraw = () => {
      this.withdraw(item.requestId);
    };
    signal.addEventListener('abort', withdraw, {once: true});
    if (signal.aborted) {
      withdraw();
    }
    return placing.finally(() => {
      signal.removeEventListener('abort', withdraw);
    });
  }

  /** The endpoint began to answer. */
  firstToken(requestId: string): void {
    this.core.firstToken(requestId, this.now());
  }

  /** Placed work has ended in whatever way. */
  finished(requestId: string, result: WorkResult): void {
    this.carry(this.core.finished(requestId, result, this.now()));
  }

  /** Takes the endpoints as they are now. */
  updateEndpoints(endpoints: readonly EndpointDescription[]): void {
    this.carry(this.core.updateEndpoints(endpoints, this.now()));
  }

  /** Takes an engine's report. */
  report(endpoint: string, report: EngineLoadReport): void {
    this.carry(this.core.report(endpoint, report, this.now()));
  }

  /** Stops waking the core. */
  close(): void {
    this.wake.abort();
  }

  private withdraw(requestId: string): void {
    const resolve = this.waiting.get(requestId);
    if (resolve !== undefined) {
      this.waiting.delete(requestId);
      resolve(Err('withdrawn'));
      this.carry(this.core.withdraw(requestId, this.now()));
    }
  }

  private now(): number {
    return this.clock.monotonicMilliseconds();
  }

  private carry(decisions: readonly Decision[]): void {
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
    this.schedule();
  }

  private schedule(): void {
    this.wake.abort();
    const at = this.core.nextWakeAt();
    if (at === undefined) {
      return;
    }
    const wake = new AbortController();
    this.wake = wake;
    const delay = Math.max(0, at - this.now());
    void this.clock.sleep(delay, wake.signal).then(() => {
      if (!wake.signal.aborted) {
        this.carry(this.core.advance(this.now()));
      }
    });
  }
}
