import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {
  baselinePolicies,
  chosenPolicies,
  DecisionKind,
  LoadCore,
  WorkClass,
  WorkOutcome,
  type Decision,
  type EndpointDescription,
  type LoadPolicies,
} from '../index.js';

const SERVICE = 'tutor-models';
const MODELS = ['tutor-7b', 'tutor-70b'];
const LATEST_DEADLINE = 5_000;

enum Step {
  Offer,
  FirstToken,
  Finish,
  Withdraw,
  Advance,
  Endpoints,
  Report,
}

interface Action {
  readonly step: Step;
  /** Milliseconds since the previous action. */
  readonly after: number;
  /** Selects the operands of the step. */
  readonly pick: number;
}

const actions = fc.array(
  fc.record<Action>({
    step: fc.constantFrom(
      Step.Offer,
      Step.Offer,
      Step.Offer,
      Step.Offer,
      Step.FirstToken,
      Step.Finish,
      Step.Finish,
      Step.Withdraw,
      Step.Advance,
      Step.Endpoints,
      Step.Report,
    ),
    after: fc.nat({max: 400}),
    pick: fc.nat({max: 9_999}),
  }),
  {minLength: 20, maxLength: 150},
);

function endpointsOf(pick: number): EndpointDescription[] {
  return Array.from({length: 4}, (_, position) => ({
    endpoint: `engine-${position}`,
    service: SERVICE,
    models: position === 0 ? MODELS : [MODELS[position % 2] ?? ''],
    dataCenter: position === 3 ? 'kigali-2' : 'kigali-1',
    slots: 1 + ((pick >> position) % 3),
    leaving: ((pick >> (2 * position)) & 3) === 3,
  })).filter((_, position) => (pick + position) % 7 !== 0);
}

/** Runs actions and checks every decision against the callers' view. */
class ActionRunner {
  private now = 0;
  private offered = 0;
  private endpoints = new Map<string, EndpointDescription>();
  private readonly reportedLeaving = new Set<string>();
  private readonly queuedRequests = new Set<string>();
  private readonly placedRequests = new Map<string, string>();
  private readonly endedRequests = new Set<string>();
  private readonly core: LoadCore;

  constructor(policies: (fraction: () => number) => LoadPolicies) {
    let state = 1;
    const fraction = () => {
      state = (state * 16_807) % 2_147_483_647;
      return state / 2_147_483_647;
    };
    this.core = new LoadCore({
      dataCenter: 'kigali-1',
      maximumQueuedRequests: 12,
      fraction,
      policies: policies(fraction),
    });
    this.updateEndpoints(1);
  }

  run({step, after, pick}: Action): void {
    this.now += after;
    switch (step) {
      case Step.Offer:
        this.offer(pick);
        break;
      case Step.FirstToken:
        this.core.firstToken(this.placedRequestOf(pick), this.now);
        break;
      case Step.Finish:
        this.finish(this.placedRequestOf(pick), pick);
        break;
      case Step.Withdraw:
        this.withdraw(pick);
        break;
      case Step.Advance:
        this.applyDecisions(this.core.advance(this.now));
        break;
      case Step.Endpoints:
        this.updateEndpoints(pick);
        break;
      case Step.Report:
        this.report(pick);
        break;
    }
    expect(this.core.queuedRequests).toBe(this.queuedRequests.size);
    expect(this.core.placedRequests).toBe(this.placedRequests.size);
  }

  /**
   * Checks that every offered request ends once all work ends and all callers
   * disconnect.
   */
  drain(): void {
    this.now += LATEST_DEADLINE;
    this.applyDecisions(this.core.advance(this.now));
    for (const requestId of [...this.queuedRequests]) {
      this.queuedRequests.delete(requestId);
      this.endedRequests.add(requestId);
      this.applyDecisions(this.core.withdraw(requestId, this.now));
    }
    while (this.placedRequests.size > 0) {
      this.finish(this.placedRequestOf(0), 0);
    }
    expect(this.core.queuedRequests).toBe(0);
    expect(this.core.placedRequests).toBe(0);
    expect(this.endedRequests.size).toBe(this.offered);
    expect(this.core.nextWakeAt()).toBeUndefined();
  }

  private offer(pick: number): void {
    const requestId = `request-${this.offered++}`;
    const decision = this.core.offer(
      {
        requestId,
        organisation: `organisation-${pick % 3}`,
        weight: 1 + (pick % 3),
        workClass: pick % 2 === 0 ? WorkClass.Interactive : WorkClass.Batch,
        service: SERVICE,
        model: MODELS[(pick >> 2) % 2] ?? '',
        promptTokens: pick % 900,
        maximumOutputTokens: 1 + (pick % 300),
        prefixHashes: [`prefix-${pick % 5}`],
        deadlineAt: this.now + (pick % LATEST_DEADLINE),
        isRetry: pick % 11 === 0,
      },
      this.now,
    );
    expect(decision.requestId).toBe(requestId);
    this.queuedRequests.add(requestId);
    this.applyDecisions([decision]);
  }

  private finish(requestId: string, pick: number): void {
    const endpoint = this.placedRequests.get(requestId);
    if (endpoint === undefined) {
      return;
    }
    this.placedRequests.delete(requestId);
    this.endedRequests.add(requestId);
    const outcomes = Object.values(WorkOutcome);
    const outcome = outcomes[pick % outcomes.length] ?? WorkOutcome.Answered;
    this.applyDecisions(
      this.core.finished(
        requestId,
        {endpoint, outcome, promptTokens: 10, outputTokens: pick % 300},
        this.now,
      ),
    );
  }

  private withdraw(pick: number): void {
    const waiting = [...this.queuedRequests];
    const requestId = waiting[pick % Math.max(1, waiting.length)];
    if (requestId !== undefined) {
      this.queuedRequests.delete(requestId);
      this.endedRequests.add(requestId);
      this.applyDecisions(this.core.withdraw(requestId, this.now));
    }
  }

  private updateEndpoints(pick: number): void {
    const list = endpointsOf(pick);
    this.endpoints = new Map(list.map(entry => [entry.endpoint, entry]));
    for (const endpoint of this.reportedLeaving) {
      if (!this.endpoints.has(endpoint)) {
        this.reportedLeaving.delete(endpoint);
      }
    }
    this.applyDecisions(this.core.updateEndpoints(list, this.now));
  }

  private report(pick: number): void {
    const endpoint = `engine-${pick % 4}`;
    const leaving = pick % 5 === 0;
    if (leaving && this.endpoints.has(endpoint)) {
      this.reportedLeaving.add(endpoint);
    } else {
      this.reportedLeaving.delete(endpoint);
    }
    this.applyDecisions(
      this.core.report(
        endpoint,
        {
          running: pick % 4,
          waiting: pick % 3,
          slots: 3,
          leaving,
          cachedPrefixes: [`prefix-${pick % 5}`],
          cacheSequence: pick,
        },
        this.now,
      ),
    );
  }

  private placedRequestOf(pick: number): string {
    const running = [...this.placedRequests.keys()];
    return running[pick % Math.max(1, running.length)] ?? '';
  }

  private applyDecisions(decisions: readonly Decision[]): void {
    for (const decision of decisions) {
      const {requestId, kind} = decision;
      // Refusals and placements are final: only queued requests are decided.
      expect(this.queuedRequests.has(requestId)).toBe(true);
      if (kind === DecisionKind.Refuse) {
        expect(decision.retryAfterMilliseconds).toBeGreaterThan(0);
        expect(Number.isFinite(decision.retryAfterMilliseconds)).toBe(true);
        this.queuedRequests.delete(requestId);
        this.endedRequests.add(requestId);
      }
      if (kind === DecisionKind.Place) {
        this.queuedRequests.delete(requestId);
        this.placedRequests.set(requestId, decision.endpoint);
        this.checkPlacement(decision.endpoint);
      }
    }
  }

  private checkPlacement(endpoint: string): void {
    const description = this.endpoints.get(endpoint);
    expect(description?.leaving).toBe(false);
    expect(this.reportedLeaving.has(endpoint)).toBe(false);
    const load = [...this.placedRequests.values()].filter(
      at => at === endpoint,
    ).length;
    expect(load).toBeLessThanOrEqual(description?.slots ?? 0);
  }
}

describe.each([
  {name: 'chosen', policies: chosenPolicies},
  {name: 'baseline', policies: baselinePolicies},
])('LoadCore with $name policies', ({policies}) => {
  it('loses no request, keeps all limits, uses no leaving endpoint, and never revises a refusal', () => {
    fc.assert(
      fc.property(actions, list => {
        const runner = new ActionRunner(policies);
        for (const action of list) {
          runner.run(action);
        }
        runner.drain();
      }),
      {seed: 6, numRuns: 300},
    );
  });
});
