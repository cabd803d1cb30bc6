import {describe, expect, it} from 'vitest';

import {
  EndpointWork,
  placeRequest,
  RequestWork,
  ServiceSpeed,
} from '../index.js';
import {BalancingReplay, type BalancingScenario} from './balancing-replay.js';

const SUMMARY = {
  perSecond: 145,
  priority: 2,
  parts: 589,
  sharedTokens: 6_300,
  ownTokens: 2_890,
  events: 7,
  goalMilliseconds: 1_215,
};
const QUESTION = {
  perSecond: 246,
  priority: 0,
  parts: 1_161,
  sharedTokens: 198,
  ownTokens: 628,
  events: 42,
  goalMilliseconds: 507,
};

/** Engines of deployment A at its usual load. */
const USUAL: BalancingScenario = {
  hosts: 65,
  seed: 1,
  engines: 63,
  slots: 32,
  cacheTokens: 300_000,
  tokensPerMillisecond: 56.6,
  stepMilliseconds: 3.79,
  pauseGoalMilliseconds: 500,
  milliseconds: 14_000,
  kinds: [SUMMARY, QUESTION],
  slowness: () => 1,
  load: () => 1,
  fetchMillisecondsPerToken: 0.000_82,
};

/** Engines of deployment B, a third of them fast, in a burst of summaries. */
const FAST_AND_SLOW: BalancingScenario = {
  ...USUAL,
  engines: 42,
  slots: 64,
  cacheTokens: 380_000,
  tokensPerMillisecond: 93.6,
  pauseGoalMilliseconds: 400,
  kinds: [
    {...SUMMARY, perSecond: 172, goalMilliseconds: 615},
    {...QUESTION, perSecond: 89},
  ],
  slowness: engine => (Math.floor(engine / 3) % 3 === 0 ? 1 / 1.7 : 1 / 0.7),
  load: (now, {priority}) =>
    priority > 0 && now > 5_000 && now < 11_000 ? 2.3 : 1,
  fetchMillisecondsPerToken: 0.000_26,
};

/** A stream whose prompt nobody shares. */
const LONG_STREAM = {
  dataCenter: 'a',
  ownTokens: 600,
  sharedTokens: 0,
  tokens: 600,
  isStream: true,
  sentMilliseconds: 20,
};

describe('a burst of long prompts to engines of different speed', () => {
  it.each([9, 65, 195])('pauses few streams of %d hosts', hosts => {
    // Guards against slow engines that get as much as fast ones: 4 % of the streams
    // paused too long when requests were placed by counts.
    const replay = new BalancingReplay({...FAST_AND_SLOW, hosts}).run();
    for (const kind of FAST_AND_SLOW.kinds) {
      expect(replay.lateShare(kind)).toBeLessThan(0.005);
      expect(replay.pausedShare(kind)).toBeLessThan(0.01);
    }
  });

  it('reads few parts again, and leaves few questions to other data centres', () => {
    // Guards against balancing that costs more engine time and bytes than it saves.
    const replay = new BalancingReplay(FAST_AND_SLOW).run();
    const [, questions = QUESTION] = FAST_AND_SLOW.kinds;
    expect(replay.tokensReadAgain).toBeLessThan(0.05 * replay.fetchedTokens);
    expect(replay.remoteShare(questions)).toBeLessThan(0.05);
  });
});

describe('an engine that becomes 3.5 times slower', () => {
  it.each([3, 24])('gets under half of an even share of %d hosts', hosts => {
    // Guards against a slow engine that gets as much as others while its requests wait.
    const replay = new BalancingReplay({
      ...USUAL,
      hosts,
      engines: 12,
      kinds: [
        {...SUMMARY, perSecond: 28},
        {...QUESTION, perSecond: 47},
      ],
      slowness: (engine, now) => (engine === 0 && now >= 6_000 ? 3.5 : 1),
    }).run();
    expect(replay.shareOf(0, 7_500, 14_000)).toBeLessThan(0.5);
  });

  it('is tried again after a while', () => {
    // Guards against an engine that gets nothing for good after one slow answer.
    const work = new EndpointWork();
    const speed = new ServiceSpeed();
    const send = (at: number, milliseconds: number, other = work) => {
      const request = new RequestWork(other, speed, LONG_STREAM, at);
      request.began(at + milliseconds);
      request.ended(at + milliseconds);
    };
    send(0, 20, new EndpointWork());
    send(100, 80);
    expect(work.slowness(0, 200)).toBeGreaterThan(2);
    expect(work.slowness(0, 80_000)).toBeLessThan(1.1);
    expect(work.waitingTokens + work.runningStreams).toBe(0);
  });
});

describe('a request that was not run', () => {
  it('says nothing of the speed of its endpoint', () => {
    // Guards against a sound endpoint that is shunned as slow for a connect time-out or a late refusal.
    const work = new EndpointWork();
    const request = new RequestWork(work, new ServiceSpeed(), LONG_STREAM, 0);
    request.notRun();
    request.ended(400);
    expect(work.slowness(0, 400)).toBe(1);
    expect(work.waitingTokens).toBe(0);
  });
});

describe('a request that does not begin', () => {
  it('counts against its endpoint before its answer', () => {
    // Guards against an endpoint that hangs and gets more until a first time-out.
    const work = new EndpointWork();
    const speed = new ServiceSpeed();
    new RequestWork(work, speed, LONG_STREAM, 0);
    expect(work.slowness(0, 100)).toBeCloseTo(5);
  });
});

describe('a plain request', () => {
  it('stays in its data centre unless the endpoint there is loaded', () => {
    // Guards against callers that wait while the next data centre is idle, and against
    // bytes between data centres without need.
    const speed = new ServiceSpeed();
    const near = {id: 'near', dataCenter: 'a', work: new EndpointWork()};
    const far = {id: 'far', dataCenter: 'b', work: new EndpointWork()};
    const size = {
      dataCenter: 'a',
      ownTokens: 0,
      sharedTokens: 0,
      tokens: 0,
      isStream: false,
      sentMilliseconds: 0,
    };
    const answerAfter = (milliseconds: number, sentAt: number) => {
      const request = new RequestWork(near.work, speed, size, sentAt);
      request.began(sentAt + milliseconds);
      request.ended(sentAt + milliseconds);
    };
    const chosenAt = (now: number) =>
      placeRequest(
        {
          sharedPart: undefined,
          sharedTokens: 0,
          homes: 1,
          dataCenter: 'a',
          avoided: new Set(),
          fraction: 0,
          cost: {
            now,
            speed,
            dataCenter: 'a',
            goalMilliseconds: 148,
            pauseGoalMilliseconds: 0,
            ownTokens: 0,
            hosts: 65,
          },
        },
        [near, far].map(one => ({
          ...one,
          slots: 6,
          load: 0,
          isAvailable: true,
        })),
      )?.id;
    [40, 45, 40, 50].forEach((taken, index) => {
      answerAfter(taken, 100 * index);
    });
    expect(chosenAt(500)).toBe('near');
    [200, 220, 210, 230].forEach((taken, index) => {
      answerAfter(taken, 500 + 100 * index);
    });
    expect(chosenAt(1_100)).toBe('far');
    expect(chosenAt(90_000)).toBe('near');
  });
});
