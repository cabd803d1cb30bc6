import {describe, expect, it} from 'vitest';

import {
  DecisionKind,
  LoadCore,
  WorkClass,
  WorkOutcome,
  type Decision,
} from '../index.js';

const ENDPOINTS = ['engine-1', 'engine-2', 'engine-3', 'engine-4'];
const SLOTS = 4;
const FAST_MILLISECONDS = 100;

/** Offers a request every 20 ms; the endpoints answer or fail independently. */
class Fleet {
  private now = 0;
  private readonly pending: {
    readonly requestId: string;
    readonly endpoint: string;
    readonly at: number;
  }[] = [];
  private readonly core = new LoadCore({
    dataCenter: 'kigali-1',
    maximumQueuedRequests: 100,
    fraction: (() => {
      let state = 7;
      return () => {
        state = (state * 16_807) % 2_147_483_647;
        return state / 2_147_483_647;
      };
    })(),
  });

  constructor(
    private readonly milliseconds: (endpoint: string) => number,
    private readonly fails: (endpoint: string) => boolean,
  ) {
    this.core.updateEndpoints(
      ENDPOINTS.map(endpoint => ({
        endpoint,
        service: 'registry-app',
        models: [],
        dataCenter: 'kigali-1',
        slots: SLOTS,
        leaving: false,
      })),
      0,
    );
  }

  /** Returns the number of requests placed on each endpoint. */
  offer(requests: number): Map<string, number> {
    const counts = new Map<string, number>();
    for (let index = 0; index < requests; index++) {
      this.now += 20;
      this.finishUntil(this.now);
      const decision = this.core.offer(
        {
          requestId: `request-${this.now}`,
          organisation: 'bar-school',
          weight: 1,
          workClass: WorkClass.Interactive,
          service: 'registry-app',
          model: '',
          promptTokens: 1,
          maximumOutputTokens: 0,
          prefixHashes: [],
          deadlineAt: this.now + 10_000,
        },
        this.now,
      );
      this.dispatch(decision, counts);
    }
    return counts;
  }

  private dispatch(decision: Decision, counts: Map<string, number>): void {
    if (decision.kind !== DecisionKind.Place) {
      return;
    }
    const {requestId, endpoint} = decision;
    counts.set(endpoint, (counts.get(endpoint) ?? 0) + 1);
    const at = this.now + this.milliseconds(endpoint);
    this.pending.push({requestId, endpoint, at});
  }

  private finishUntil(now: number): void {
    this.pending.sort((left, right) => left.at - right.at);
    while ((this.pending[0]?.at ?? Infinity) <= now) {
      const {
        requestId = '',
        endpoint = '',
        at = 0,
      } = this.pending.shift() ?? {};
      const outcome = this.fails(endpoint)
        ? WorkOutcome.Failed
        : WorkOutcome.Answered;
      const result = {endpoint, outcome, promptTokens: 1, outputTokens: 0};
      this.core.finished(requestId, result, at);
    }
  }
}

describe('a slow endpoint', () => {
  it('gets almost no work once it is shed, and work again after it recovers', () => {
    let isSlow = false;
    const fleet = new Fleet(
      endpoint =>
        isSlow && endpoint === 'engine-1'
          ? 10 * FAST_MILLISECONDS
          : FAST_MILLISECONDS,
      () => false,
    );
    fleet.offer(200);
    isSlow = true;
    fleet.offer(250);
    expect(fleet.offer(500).get('engine-1') ?? 0).toBeLessThanOrEqual(2);
    isSlow = false;
    fleet.offer(4_000);
    expect(fleet.offer(500).get('engine-1') ?? 0).toBeGreaterThan(50);
  });

  // One endpoint refuses every connection at once, so its slots are always
  // free. Placement by load alone would send it most of the work, and callers
  // would get repeated failures while other endpoints are idle.
  it('does not attract all the work if it fails immediately', () => {
    let fails = false;
    const fleet = new Fleet(
      endpoint => (fails && endpoint === 'engine-1' ? 1 : FAST_MILLISECONDS),
      endpoint => fails && endpoint === 'engine-1',
    );
    fleet.offer(200);
    fails = true;
    fleet.offer(250);
    expect(fleet.offer(500).get('engine-1') ?? 0).toBeLessThanOrEqual(2);
  });
});
