import {describe, expect, it} from 'vitest';

import {
  DecisionKind,
  FairAdmission,
  LoadCore,
  RefusalReason,
  WorkClass,
  WorkOutcome,
  type EndpointDescription,
  type WorkItem,
} from '../index.js';

const SERVICE_MILLISECONDS = 1_000;
const SLOTS = 8;

function endpoint(name: string, dataCenter: string): EndpointDescription {
  return {
    endpoint: name,
    service: 'tutor-models',
    models: ['tutor-7b'],
    dataCenter,
    slots: SLOTS,
    leaving: false,
  };
}

function work(requestId: string, changes: Partial<WorkItem> = {}): WorkItem {
  return {
    requestId,
    organisation: 'bar-school',
    weight: 1,
    workClass: WorkClass.Interactive,
    service: 'tutor-models',
    model: 'tutor-7b',
    promptTokens: 100,
    maximumOutputTokens: 10,
    prefixHashes: [],
    deadlineAt: 5_000,
    ...changes,
  };
}

/**
 * Creates a core that has measured the duration of a request and has all local
 * slots occupied.
 */
function busyCore(endpoints: readonly EndpointDescription[]): LoadCore {
  const core = new LoadCore({
    dataCenter: 'kigali-1',
    maximumQueuedRequests: 1_000,
    fraction: () => 0,
  });
  core.updateEndpoints(endpoints, -SERVICE_MILLISECONDS);
  core.offer(work('first'), -SERVICE_MILLISECONDS);
  core.firstToken('first', -SERVICE_MILLISECONDS / 2);
  core.finished(
    'first',
    {
      endpoint: 'local',
      outcome: WorkOutcome.Answered,
      promptTokens: 100,
      outputTokens: 10,
    },
    0,
  );
  for (let slot = 0; slot < SLOTS; slot++) {
    core.offer(work(`running-${slot}`), 0);
  }
  return core;
}

describe('a busy core', () => {
  // More is offered than can be served in time. Waiting until the deadline
  // would take away the caller's time for an alternative, and then occupy a
  // slot. The caller is therefore refused at once, with a time to retry after.
  it('immediately refuses requests that cannot meet their deadline', () => {
    const core = busyCore([endpoint('local', 'kigali-1')]);
    const decisions = Array.from({length: 60}, (_, index) =>
      core.offer(work(`more-${index}`), 0),
    );
    const refused = decisions.filter(({kind}) => kind === DecisionKind.Refuse);
    expect(decisions[0]?.kind).toBe(DecisionKind.Queue);
    expect(refused.length).toBeGreaterThan(10);
    expect(refused[0]).toMatchObject({
      reason: RefusalReason.DeadlineUnreachable,
    });
    const retryDelays = refused.map(decision =>
      decision.kind === DecisionKind.Refuse
        ? decision.retryAfterMilliseconds
        : 0,
    );
    // The retries are spread over time.
    expect(retryDelays.at(-1)).toBeGreaterThan(retryDelays[0] ?? Infinity);
  });

  it('shifts to another data centre, leaving a quarter of its slots free', () => {
    const core = busyCore([
      endpoint('local', 'kigali-1'),
      endpoint('remote', 'kigali-2'),
    ]);
    const decisions = Array.from({length: SLOTS}, (_, index) =>
      core.offer(work(`more-${index}`), 0),
    );
    const shifted = decisions.filter(
      decision =>
        decision.kind === DecisionKind.Place && decision.endpoint === 'remote',
    );
    expect(shifted).toHaveLength(6);
  });

  it('does not shift while a local slot is free', () => {
    const core = busyCore([
      endpoint('local', 'kigali-1'),
      endpoint('other-local', 'kigali-1'),
      endpoint('remote', 'kigali-2'),
    ]);
    expect(core.offer(work('more'), 0)).not.toMatchObject({
      endpoint: 'remote',
    });
  });
});

describe('FairAdmission', () => {
  it('limits retries only under overload', () => {
    const admission = new FairAdmission();
    const retry = work('retry', {isRetry: true});
    const admitted = Array.from({length: 30}, () =>
      admission.admit(retry, true),
    ).filter(reason => reason === undefined);
    expect(admitted).toHaveLength(10);
    expect(admission.admit(retry, false)).toBeUndefined();
    expect(admission.admit(retry, true)).toBe(
      RefusalReason.RetryBudgetExhausted,
    );
    for (let first = 0; first < 11; first++) {
      admission.admit(work('first'), true);
    }
    expect(admission.admit(retry, true)).toBeUndefined();
  });

  it('leaves room in the queue for other organisations', () => {
    const admission = new FairAdmission();
    const occupancy = {
      queued: 50,
      queuedOfOrganisation: 50,
      maximumQueued: 100,
    };
    expect(admission.admitToQueue(occupancy)).toBe(
      RefusalReason.ShareExhausted,
    );
    expect(
      admission.admitToQueue({...occupancy, queuedOfOrganisation: 0}),
    ).toBeUndefined();
  });
});
