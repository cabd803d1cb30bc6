import {array, assert, boolean, nat, property, record} from 'fast-check';
import {describe, expect, it} from 'vitest';

import {
  AlwaysReachable,
  ReachByConnects,
  ReachState,
  type ReachPolicy,
} from '../service-reach.js';

const ENDPOINTS = Array.from({length: 8}, (_, index) => `engine-${index}`);
const REFUSED_MILLISECONDS = 3;
const TIMEOUT_MILLISECONDS = 120;

function connect(
  reach: ReachPolicy,
  endpoint: string,
  startedAt: number,
  isAccepted: boolean,
  milliseconds = REFUSED_MILLISECONDS,
): void {
  const attempt = {endpoint, startedAt, endedAt: startedAt + milliseconds};
  if (isAccepted) {
    reach.recordConnect(attempt, ENDPOINTS.length);
  } else {
    reach.recordConnectFailure(attempt, ENDPOINTS.length);
  }
}

/** Lets connects to these endpoints fail, 10 ms apart. */
function fail(
  reach: ReachPolicy,
  endpoints: readonly string[],
  from: number,
): void {
  endpoints.forEach((endpoint, index) => {
    connect(reach, endpoint, from + 10 * index, false);
  });
}

/** A request of the replay. */
interface ReplayedRequest {
  readonly at: number;
  readonly endpoint: string;
}

/**
 * Replays requests that each need a new connection, and counts those that are
 * sent to the endpoints of a cut host directly.
 */
function failedConnects(
  reach: ReachPolicy,
  requests: readonly ReplayedRequest[],
  cut: {readonly from: number; readonly until: number},
): number {
  let failed = 0;
  for (const {at, endpoint} of requests) {
    const isCut = at >= cut.from && at < cut.until;
    // While the service is unreachable, a trial is made every 250 ms.
    if (reach.state === ReachState.Reachable || at % 250 === 0) {
      connect(reach, endpoint, at, !isCut, isCut ? TIMEOUT_MILLISECONDS : 1);
      failed += isCut ? 1 : 0;
    }
  }
  return failed;
}

describe('ReachByConnects', () => {
  it('learns from the failures of earlier requests', () => {
    // Guards against a cut host that lets every request fail at the same
    // endpoints.
    const requests = Array.from({length: 800}, (_, index) => ({
      at: index * 25,
      endpoint: ENDPOINTS[index % ENDPOINTS.length] ?? '',
    }));
    const cut = {from: 5_000, until: 17_000};
    const learning = new ReachByConnects();
    const failures = failedConnects(learning, requests, cut);
    // One trial every 250 ms, and the connects until the cut is noticed.
    expect(failures).toBeLessThanOrEqual(12_000 / 250 + 4);
    expect(learning.state).toBe(ReachState.Reachable);
    expect(failedConnects(new AlwaysReachable(), requests, cut)).toBe(480);
  });

  it('does not take crashed endpoints for a missing path', () => {
    // Guards against requests through other hosts whenever endpoints crash.
    const reach = new ReachByConnects();
    for (let at = 0; at < 10_000; at += 100) {
      const endpoint = ENDPOINTS[(at / 100) % ENDPOINTS.length] ?? '';
      const hasCrashed = ENDPOINTS.indexOf(endpoint) < 2;
      connect(reach, endpoint, at, !hasCrashed);
      expect(reach.state).toBe(ReachState.Reachable);
    }
  });

  it('does not add up failures that are far apart', () => {
    const reach = new ReachByConnects();
    fail(reach, ENDPOINTS.slice(0, 2), 0);
    fail(reach, ENDPOINTS.slice(2, 4), 60_000);
    expect(reach.state).toBe(ReachState.Reachable);
  });

  it('needs all endpoints of a small service', () => {
    const reach = new ReachByConnects();
    const attempt = {endpoint: 'engine-0', startedAt: 0, endedAt: 3};
    reach.recordConnectFailure(attempt, 2);
    expect(reach.state).toBe(ReachState.Reachable);
    reach.recordConnectFailure({...attempt, endpoint: 'engine-1'}, 2);
    expect(reach.state).toBe(ReachState.Unreachable);
  });

  it('returns only after two endpoints have accepted a connect', () => {
    // Guards against flapping on a host that reaches one endpoint of many.
    const reach = new ReachByConnects();
    fail(reach, ENDPOINTS.slice(0, 3), 0);
    connect(reach, 'engine-7', 100, true);
    connect(reach, 'engine-6', 200, false);
    connect(reach, 'engine-7', 300, true);
    expect(reach.state).toBe(ReachState.Unreachable);
    connect(reach, 'engine-5', 400, true);
    expect(reach.state).toBe(ReachState.Reachable);
  });

  it('ignores a timeout of a connect that is older than a successful one', () => {
    // Guards against late timeouts that undo the return to the direct path.
    const reach = new ReachByConnects();
    connect(reach, 'engine-0', 200, true, 1);
    for (const endpoint of ENDPOINTS.slice(1, 5)) {
      connect(reach, endpoint, 190, false, TIMEOUT_MILLISECONDS);
    }
    expect(reach.state).toBe(ReachState.Reachable);
  });

  it('uses open connections only while data arrives on them', () => {
    // Guards against requests on connections that hang.
    const reach = new ReachByConnects();
    reach.recordData(90);
    fail(reach, ENDPOINTS.slice(0, 3), 100);
    expect(reach.keepsConnections(130)).toBe(false);
    reach.recordData(150);
    expect(reach.keepsConnections(160)).toBe(true);
    expect(reach.keepsConnections(1_200)).toBe(false);
  });

  it('follows a cut and its end after any history', () => {
    // Guards against a state that no further connect changes.
    const history = array(
      record({endpoint: nat(ENDPOINTS.length - 1), isAccepted: boolean()}),
    );
    assert(
      property(history, steps => {
        const reach = new ReachByConnects();
        let now = 0;
        for (const {endpoint, isAccepted} of steps) {
          now += 50;
          connect(reach, ENDPOINTS[endpoint] ?? '', now, isAccepted);
        }
        fail(reach, ENDPOINTS, now + 50);
        expect(reach.state).toBe(ReachState.Unreachable);
        connect(reach, 'engine-0', now + 500, true);
        connect(reach, 'engine-1', now + 510, true);
        expect(reach.state).toBe(ReachState.Reachable);
        expect(reach.keepsConnections(now + 520)).toBe(true);
      }),
    );
  });
});
