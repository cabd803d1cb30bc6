import {describe, expect, it} from 'vitest';

import {
  hostPlace,
  LimitTurns,
  RecentPriorities,
} from '../endpoint-statements/index.js';
import {
  LimitBuckets,
  LimitReplay,
  LimitTrouble,
  maximumInSpan,
  WholeLimit,
} from './limit-replay.js';
import {createFraction} from './placement-replay.js';

const ENDPOINTS = 4;
/** Requests a second of all hosts, as in the load of the incident for each host. */
const REQUESTS_PER_HOST = 2;
const CASES = [9, 65, 195].flatMap(hosts =>
  [0.2, 1, 2.5, 30, 300].flatMap(requestsPerSecond =>
    Object.values(LimitTrouble).map(trouble => ({
      hosts,
      requestsPerSecond,
      trouble,
    })),
  ),
);
/** Share of what endpoints take, or of the load if that is less, that must get there. */
const MINIMUM_USED = 0.5;

const loadOf = ({
  hosts,
  requestsPerSecond,
}: {
  readonly hosts: number;
  readonly requestsPerSecond: number;
}) => (hosts * REQUESTS_PER_HOST) / (ENDPOINTS * requestsPerSecond);

describe('endpoints that name a limit', () => {
  it.each(CASES)('get no more from hosts that take turns: %j', scenario => {
    // Guards against hosts that each keep to a limit, and together send more.
    const {mostInSpan, used} = new LimitReplay({
      ...scenario,
      endpoints: ENDPOINTS,
      load: loadOf(scenario),
      seed: 1,
      createAdmission: () => new LimitTurns(),
    }).run();
    expect(mostInSpan).toBeLessThanOrEqual(
      maximumInSpan(scenario.requestsPerSecond),
    );
    expect(used).toBeGreaterThan(MINIMUM_USED);
  });

  it.each([
    {way: 'the whole limit', createAdmission: () => new WholeLimit()},
    {way: 'a bucket', createAdmission: () => new LimitBuckets()},
  ])('would get more if each host had $way', ({createAdmission}) => {
    const {mostInSpan} = new LimitReplay({
      hosts: 65,
      requestsPerSecond: 1,
      trouble: LimitTrouble.Burst,
      endpoints: ENDPOINTS,
      load: 65,
      seed: 1,
      createAdmission,
    }).run();
    expect(mostInSpan).toBeGreaterThan(maximumInSpan(1));
  });
});

describe('LimitTurns', () => {
  const place = {rank: 0, hosts: 2};
  const limit = {id: 'engine', requestsPerSecond: 0};

  it('admits a request now and then to an endpoint that takes none', () => {
    // Guards against hosts that never learn that a limit has ended.
    const turns = new LimitTurns();
    const admitted = [];
    for (let now = 0; now < 120_000; now += 100) {
      const time = {monotonic: now, timeOfDay: now};
      if (turns.mayAdmit(limit, place, time)) {
        turns.admitted(limit, place, time);
        admitted.push(now);
      }
    }
    expect(admitted.length).toBeGreaterThanOrEqual(5);
    expect(admitted.length).toBeLessThanOrEqual(8);
  });

  it('has no turn left after a request that was sent without one', () => {
    const turns = new LimitTurns();
    const busy = {id: 'engine', requestsPerSecond: 10};
    const time = {monotonic: 1_000, timeOfDay: 1_000};
    while (turns.mayAdmit(busy, place, time)) {
      turns.admitted(busy, place, time);
    }
    turns.admitted(busy, place, time);
    expect(
      turns.mayAdmit(busy, place, {monotonic: 1_080, timeOfDay: 1_080}),
    ).toBe(false);
  });
});

describe('requests of several priorities', () => {
  /** Seconds in which urgent and other requests come at random, eight a second. */
  const SECONDS = 100;

  const servedOf = (hasUrgent: boolean) => {
    const turns = new LimitTurns();
    const priorities = new RecentPriorities();
    const limit = {id: 'engine', requestsPerSecond: 2};
    const served = {urgent: 0, other: 0};
    const fraction = createFraction(1);
    for (let step = 0; step < 8 * SECONDS; step++) {
      const now = 125 * (step + fraction());
      const isUrgent = hasUrgent && fraction() < 0.5;
      const priority = isUrgent ? 0 : 3;
      priorities.requested(priority, now);
      const time = {monotonic: now, timeOfDay: now};
      const place = {rank: 0, hosts: 1};
      const yields = priorities.hasMoreUrgent(priority, now);
      if (turns.mayAdmit(limit, place, time, yields)) {
        turns.admitted(limit, place, time);
        served[isUrgent ? 'urgent' : 'other']++;
      }
    }
    return served;
  };

  it('get what a limit leaves by urgency', () => {
    // Guards against urgent requests that are refused while others are served.
    const {urgent, other} = servedOf(true);
    expect(urgent).toBeGreaterThan(0.9 * 2 * SECONDS);
    expect(other).toBeLessThan(0.1 * 2 * SECONDS);
  });

  it('get all of it if none is more urgent', () => {
    expect(servedOf(false).other).toBeGreaterThan(0.9 * 2 * SECONDS);
  });
});

describe('hostPlace', () => {
  it('counts each name once, and a host that is not listed', () => {
    // Guards against a host that started again and is listed twice.
    expect(hostPlace('b', ['a', 'c', 'a'])).toEqual({rank: 1, hosts: 3});
    expect(hostPlace('b', [])).toEqual({rank: 0, hosts: 1});
  });
});
