import {describe, expect, it} from 'vitest';

import {
  DecisionKind,
  LoadCore,
  RefusalReason,
  WorkClass,
  WorkOutcome,
  type EndpointDescription,
  type WorkItem,
} from '../index.js';

const ENGINE: EndpointDescription = {
  endpoint: 'engine-1',
  service: 'tutor-models',
  models: ['tutor-7b'],
  dataCenter: 'kigali-1',
  slots: 1,
  leaving: false,
};

function work(requestId: string, deadlineAt = 1_000): WorkItem {
  return {
    requestId,
    organisation: 'bar-school',
    weight: 1,
    workClass: WorkClass.Interactive,
    service: 'tutor-models',
    model: 'tutor-7b',
    promptTokens: 10,
    maximumOutputTokens: 20,
    prefixHashes: [],
    deadlineAt,
  };
}

function coreWith(endpoints: readonly EndpointDescription[]): LoadCore {
  const core = new LoadCore({
    dataCenter: 'kigali-1',
    maximumQueuedRequests: 1,
    fraction: () => 0,
  });
  core.updateEndpoints(endpoints, 0);
  return core;
}

const ANSWERED = {
  endpoint: 'engine-1',
  outcome: WorkOutcome.Answered,
  promptTokens: 10,
  outputTokens: 20,
};

describe('LoadCore', () => {
  it('places, queues and then refuses as slots and queue fill up', () => {
    const core = coreWith([ENGINE]);
    expect(core.offer(work('a'), 0).kind).toBe(DecisionKind.Place);
    expect(core.offer(work('b'), 0).kind).toBe(DecisionKind.Queue);
    expect(core.offer(work('c'), 0)).toMatchObject({
      kind: DecisionKind.Refuse,
      reason: RefusalReason.QueueFull,
    });
    expect(core.finished('a', ANSWERED, 5)).toEqual([
      {kind: DecisionKind.Place, requestId: 'b', endpoint: 'engine-1'},
    ]);
  });

  it('refuses waiting work when its deadline passes', () => {
    const core = coreWith([ENGINE]);
    core.offer(work('a'), 0);
    core.offer(work('b', 50), 0);
    expect(core.nextWakeAt()).toBe(50);
    expect(core.advance(50)).toMatchObject([
      {requestId: 'b', reason: RefusalReason.DeadlinePassed},
    ]);
    expect(core.queuedRequests).toBe(0);
  });

  it('gives a leaving endpoint no new work', () => {
    const core = coreWith([{...ENGINE, leaving: true}]);
    expect(core.offer(work('a'), 0)).toMatchObject({
      kind: DecisionKind.Refuse,
      reason: RefusalReason.NoEndpoint,
    });
  });

  it('removes queued work that its caller withdrew', () => {
    const core = coreWith([ENGINE]);
    core.offer(work('a'), 0);
    core.offer(work('b'), 0);
    core.withdraw('b', 1);
    expect(core.finished('a', ANSWERED, 5)).toEqual([]);
  });
});
