import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {
  BeginAll,
  BeginWithinLimit,
  type ArrivalAdmission,
  type ArrivedRequest,
} from '../index.js';
import {LoopReplay, type ReplayResult, type StepCosts} from './loop-replay.js';

const SMALL_HOST: StepCosts = {
  turn: 0.5,
  connect: 2,
  read: 1,
  refuse: 1,
  begin: 5,
  answer: 6,
};
/** Capacity of a host without other work, in requests per second. */
const CAPACITY_PER_SECOND =
  1_000 / (SMALL_HOST.read + SMALL_HOST.begin + SMALL_HOST.answer);
const OBJECTIVE_MILLISECONDS = 200;
const LIMIT_MILLISECONDS = 1_000;
/**
 * Former and current limit on connections that wait to be accepted by a host.
 */
const LONG_BACKLOG = 1_024;
const SHORT_BACKLOG = 16;
/** First attempts in this period are counted; in milliseconds. */
const COUNTED_PERIOD = {from: 5_000, until: 20_000};

interface ReplayOptions {
  readonly admission: ArrivalAdmission;
  /** The load as a multiple of the capacity, by the time in milliseconds. */
  readonly loadFactor: (at: number) => number;
  readonly backlog?: number;
  readonly newConnectionEvery?: number;
  readonly from?: number;
}

function runReplay({
  admission,
  loadFactor,
  backlog = SHORT_BACKLOG,
  newConnectionEvery = 5,
  from = COUNTED_PERIOD.from,
}: ReplayOptions): ReplayResult {
  const replay = new LoopReplay(admission, {
    costs: SMALL_HOST,
    requestsPerSecond: at => CAPACITY_PER_SECOND * loadFactor(at),
    patienceMilliseconds: LIMIT_MILLISECONDS / 3,
    objectiveMilliseconds: OBJECTIVE_MILLISECONDS,
    limitMilliseconds: LIMIT_MILLISECONDS,
    endpointMilliseconds: 60,
    attempts: 2,
    newConnectionEvery,
    backlog,
  });
  return replay.run(from, COUNTED_PERIOD.until);
}

describe('a small host that receives more than its capacity', () => {
  it.each([2, 3])(
    'serves almost no caller with the baseline, at %d times its capacity on new connections',
    loadFactor => {
      // Callers have left by the time their connection is accepted, and return
      // on new connections.
      const result = runReplay({
        admission: new BeginAll(),
        loadFactor: () => loadFactor,
        backlog: LONG_BACKLOG,
        newConnectionEvery: 1,
      });
      expect(result.servedPerSecond).toBeLessThan(0.05 * CAPACITY_PER_SECOND);
    },
  );

  it.each([1.2, 2, 3])(
    'serves most of its capacity at %d times it on new connections',
    loadFactor => {
      // Waiting connections are read before their callers leave.
      const result = runReplay({
        admission: new BeginWithinLimit(),
        loadFactor: () => loadFactor,
        newConnectionEvery: 1,
      });
      expect(result.servedPerSecond).toBeGreaterThan(0.8 * CAPACITY_PER_SECOND);
    },
  );

  it.each([
    [1.2, 0.9],
    [1.5, 0.9],
    [2, 0.8],
    [3, 0.6],
  ])('serves most of its capacity at %d times it', (loadFactor, part) => {
    // The remaining capacity is used to read and refuse requests that would be
    // answered too late.
    const result = runReplay({
      admission: new BeginWithinLimit(),
      loadFactor: () => loadFactor,
    });
    expect(result.servedPerSecond).toBeGreaterThan(part * CAPACITY_PER_SECOND);
  });

  it.each([0.3, 0.6, 0.8])(
    'refuses no request below its capacity, at %d times it',
    loadFactor => {
      const result = runReplay({
        admission: new BeginWithinLimit(),
        loadFactor: () => loadFactor,
      });
      expect(result.refusals).toBe(0);
      expect(result.servedPerSecond).toBeGreaterThan(
        0.98 * loadFactor * CAPACITY_PER_SECOND,
      );
    },
  );

  it.each([1, 5])(
    'serves every request again after an overload, one new connection per %d callers',
    every => {
      // Guards against serving no callers after a burst because they queue behind
      // an earlier backlog.
      const result = runReplay({
        admission: new BeginWithinLimit(),
        loadFactor: at => (at < 8_000 ? 3 : 0.6),
        newConnectionEvery: every,
        from: 10_000,
      });
      expect(result.refusals).toBe(0);
      expect(result.servedPerSecond).toBeGreaterThan(
        0.98 * 0.6 * CAPACITY_PER_SECOND,
      );
    },
  );

  it('refuses at once', () => {
    // A caller whose request is held until it gives up cannot try another host.
    const result = runReplay({
      admission: new BeginWithinLimit(),
      loadFactor: () => 6,
    });
    expect(result.refusals).toBeGreaterThan(0);
    expect(result.maximumRefusalDelayMilliseconds).toBeLessThan(
      LIMIT_MILLISECONDS,
    );
  });
});

describe('a host of 0.12 cores with callers that wait 627 ms', () => {
  it('refuses in time what it would answer too late', () => {
    // Guards against callers with an objective of 150 ms that are neither served
    // nor refused where turns that start all requests take 100 ms.
    const scale = 8;
    const costs = Object.fromEntries(
      Object.entries(SMALL_HOST).map(([step, cost]) => [step, scale * cost]),
    ) as unknown as StepCosts;
    const run = (beginsPerTurn: number) =>
      new LoopReplay(new BeginWithinLimit(), {
        costs,
        requestsPerSecond: () => (3 * CAPACITY_PER_SECOND) / scale,
        patienceMilliseconds: 627 / 3,
        objectiveMilliseconds: 150,
        limitMilliseconds: 627,
        endpointMilliseconds: 60,
        attempts: 2,
        newConnectionEvery: 5,
        backlog: SHORT_BACKLOG,
        beginsPerTurn,
      }).run(COUNTED_PERIOD.from, COUNTED_PERIOD.until);
    const {refusals, maximumRefusalDelayMilliseconds} = run(1);
    expect(refusals).toBeGreaterThan(5 * run(Infinity).refusals);
    expect(maximumRefusalDelayMilliseconds).toBeLessThan(627 / 2);
  });
});

const arrivals = fc.array(
  fc.record({
    receivedAt: fc.integer({min: 0, max: 1_000}),
    objectiveMilliseconds: fc.integer({min: 50, max: 2_000}),
    limitMilliseconds: fc.integer({min: 100, max: 20_000}),
  }),
  {maxLength: 40},
);
const intervals = fc.array(fc.integer({min: 1, max: 500}), {
  minLength: 1,
  maxLength: 40,
});
const BUSY_MILLISECONDS = 10_000;
const UNANSWERED_REQUESTS = 10;
const ANSWERED: ArrivedRequest = {
  receivedAt: 0,
  objectiveMilliseconds: OBJECTIVE_MILLISECONDS,
  limitMilliseconds: LIMIT_MILLISECONDS,
};

/**
 * Creates a policy that has recorded answers at these intervals while the loop
 * was busy.
 */
function afterAnswers(answerIntervals: readonly number[]): BeginWithinLimit {
  const admission = new BeginWithinLimit();
  const load = {
    busyMilliseconds: BUSY_MILLISECONDS,
    unansweredRequests: UNANSWERED_REQUESTS,
  };
  let now = 0;
  for (const interval of [0, ...answerIntervals]) {
    now += interval;
    admission.recordAnswerStart(load, now);
  }
  return admission;
}

describe('BeginWithinLimit', () => {
  it('starts every request if the loop has paused, whatever happened before', () => {
    fc.assert(
      fc.property(arrivals, intervals, (arrived, answerIntervals) => {
        const load = {
          busyMilliseconds: 0,
          unansweredRequests: UNANSWERED_REQUESTS,
        };
        const plan = afterAnswers(answerIntervals).plan(arrived, load, 1_000);
        expect(plan).toEqual({begun: arrived, refused: []});
      }),
    );
  });

  it('starts no more requests when the host answers more slowly', () => {
    fc.assert(
      fc.property(
        arrivals,
        intervals,
        fc.integer({min: 1, max: 400}),
        (arrived, answerIntervals, more) => {
          const load = {
            busyMilliseconds: BUSY_MILLISECONDS,
            unansweredRequests: 2,
          };
          const faster = afterAnswers(answerIntervals).plan(
            arrived,
            load,
            1_000,
          );
          const slower = afterAnswers(
            answerIntervals.map(interval => interval + more),
          ).plan(arrived, load, 1_000);
          expect(slower.begun.length).toBeLessThanOrEqual(faster.begun.length);
        },
      ),
    );
  });

  it('starts or refuses each request, with a retry delay in each refusal', () => {
    fc.assert(
      fc.property(
        arrivals,
        intervals,
        fc.integer({min: 0, max: 20}),
        (arrived, answerIntervals, unansweredRequests) => {
          const load = {
            busyMilliseconds: BUSY_MILLISECONDS,
            unansweredRequests,
          };
          const {begun, refused} = afterAnswers(answerIntervals).plan(
            arrived,
            load,
            1_000,
          );
          const all = [...begun, ...refused.map(({request}) => request)];
          expect(all).toHaveLength(arrived.length);
          expect(new Set(all)).toEqual(new Set(arrived));
          for (const {retryAfterMilliseconds} of refused) {
            expect(retryAfterMilliseconds).toBeGreaterThan(0);
          }
        },
      ),
    );
  });

  it('starts a request if none is in progress', () => {
    // Guards against refusing every request while the loop is kept busy by
    // something other than requests.
    fc.assert(
      fc.property(arrivals, intervals, (arrived, answerIntervals) => {
        fc.pre(arrived.length > 0);
        const load = {
          busyMilliseconds: BUSY_MILLISECONDS,
          unansweredRequests: 0,
        };
        const {begun} = afterAnswers(answerIntervals).plan(
          arrived,
          load,
          1_000,
        );
        expect(begun.length).toBeGreaterThan(0);
      }),
    );
  });

  it('includes the time that a request waited before it was read', () => {
    // Ten requests in progress at 95 ms per answer take 950 ms of the 1,000 ms
    // limit.
    const load = {
      busyMilliseconds: BUSY_MILLISECONDS,
      unansweredRequests: UNANSWERED_REQUESTS,
    };
    const admission = afterAnswers(Array.from({length: 200}, () => 95));
    const recent = {...ANSWERED, receivedAt: 960};
    const earlier = {...ANSWERED, receivedAt: 940};
    expect(admission.plan([recent], load, 1_000).begun).toEqual([recent]);
    expect(admission.plan([earlier], load, 1_000).begun).toEqual([]);
  });

  it('ignores late answers while the loop pauses', () => {
    // Guards against refusals by a host with spare capacity because its
    // endpoints are slow.
    const admission = new BeginWithinLimit();
    for (let answer = 1; answer <= 50; answer++) {
      const load = {
        busyMilliseconds: 5,
        unansweredRequests: UNANSWERED_REQUESTS,
      };
      admission.recordAnswerStart(load, answer * 1_000);
    }
    const arrived = Array.from({length: 20}, () => ANSWERED);
    const load = {
      busyMilliseconds: BUSY_MILLISECONDS,
      unansweredRequests: UNANSWERED_REQUESTS,
    };
    expect(admission.plan(arrived, load, 0).begun).toHaveLength(20);
  });
});
