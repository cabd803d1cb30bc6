import {describe, expect, it} from 'vitest';

import {
  DemandDivision,
  HostPlaces,
  LearnedRoom,
  ownPlaces,
  ServiceBrittleness,
} from '../endpoint-places/index.js';
import {PlaceSource, replayPlaces} from './place-replay.js';

const FLEET = {endpoints: 6, slots: 4, seconds: 5, seed: 1};
const SIZES = [3, 9, 65, 195];
const DIVIDED = {...FLEET, source: PlaceSource.Divided};

describe('places at endpoints that must not refuse requests', () => {
  it.each(SIZES)(
    'are never given out twice, and are used, by %i hosts',
    hosts => {
      // Guards against hosts that together send an endpoint more than it has room for.
      const load = 0.85;
      const alone = replayPlaces({...DIVIDED, hosts, load});
      const before = replayPlaces({
        ...FLEET,
        hosts,
        load,
        source: PlaceSource.None,
      });
      expect(before.mostBeyondSlots).toBeGreaterThan(1);
      expect(alone.mostBeyondSlots).toBeLessThanOrEqual(0);
      expect(alone.servedShare).toBeGreaterThan(0.9);
    },
  );

  it.each(SIZES)(
    'follow the callers if nine of ten come to one of %i hosts',
    hosts => {
      // Guards against places that are kept for hosts without callers.
      const load = {hosts, load: 0.6, atFirstHost: 0.9};
      const own = replayPlaces({...FLEET, ...load, source: PlaceSource.Own});
      const divided = replayPlaces({...DIVIDED, ...load});
      expect(divided.mostBeyondSlots).toBeLessThanOrEqual(0);
      expect(divided.servedShare).toBeGreaterThan(0.95);
      if (hosts > 3) {
        expect(own.servedShare).toBeLessThan(0.6);
      }
    },
  );

  it.each(SIZES)(
    'are never given out twice while two of %i hosts divide them',
    hosts => {
      // Guards against hosts that can't reach each other and divide the same places.
      const result = replayPlaces({
        ...DIVIDED,
        hosts,
        load: 0.85,
        dividerOf: host => host % 2,
      });
      expect(result.mostBeyondSlots).toBeLessThanOrEqual(0);
      expect(result.usedShare).toBeGreaterThan(0.6);
    },
  );

  it.each(SIZES)(
    'are never given out twice around a host that stands still, of %i',
    hosts => {
      // Guards against a host that goes on by what it was allotted long before.
      const result = replayPlaces({
        ...DIVIDED,
        hosts,
        load: 0.85,
        isFrozen: (host, now) => host < hosts / 3 && now % 4_000 < 2_000,
      });
      expect(result.mostBeyondSlots).toBeLessThanOrEqual(0);
    },
  );

  it('belong to the hosts so that their sum is what an endpoint has', () => {
    for (const hosts of [1, 3, 7, 24, 195]) {
      const sum = Array.from({length: hosts}, (_, rank) =>
        ownPlaces('e', 48, {rank, hosts}),
      ).reduce((one, other) => one + other, 0);
      expect(sum).toBe(48);
    }
  });
});

describe('DemandDivision', () => {
  const report = (host: string, own: number, running: number, waiting = 0) => ({
    host,
    waiting,
    endpoints: [{endpoint: 'e', room: 4, ownPlaces: own, running, refusals: 0}],
  });
  const times = {handoverMilliseconds: 600, useMilliseconds: 1_200};

  it('gives a host the places of another only after that has given them back', () => {
    // Guards against a place that two hosts use.
    const division = new DemandDivision(() => times);
    division.report(report('a', 2, 2), 0);
    division.report(report('b', 2, 2), 0);
    expect(division.report(report('b', 2, 2, 2), 400).get('e')).toBe(2);
    division.report(report('a', 2, 0), 450);
    expect(division.divide('b', 450).get('e')).toBe(4);
  });

  it('gives out no more than an endpoint has while the lists of hosts differ', () => {
    // Guards against a host that has just started and counts itself among the others.
    const division = new DemandDivision(() => times);
    division.report(report('a', 2, 0), 0);
    division.report(report('b', 2, 0), 0);
    division.report(report('c', 1, 0), 0);
    division.report(report('a', 2, 0, 9), 400);
    division.report(report('b', 2, 0), 400);
    division.report(report('c', 1, 0), 400);
    expect(division.divide('a', 400).get('e')).toBe(4);
  });

  it('lowers what it gives out when an endpoint refuses', () => {
    // Guards against an endpoint whose memory is full long before its slots are.
    const division = new DemandDivision(() => times);
    division.report(report('a', 4, 3), 0);
    const refused = report('a', 4, 2, 2);
    const endpoints = refused.endpoints.map(use => ({...use, refusals: 1}));
    expect(division.report({...refused, endpoints}, 500).get('e')).toBe(2);
    expect(division.report(report('a', 4, 2, 2), 1_600).get('e')).toBe(3);
  });

  it('keeps the places of a host that is silent until its requests have ended', () => {
    // Guards against requests of a frozen host that are forgotten.
    const division = new DemandDivision(() => times);
    division.report(report('a', 2, 2), 0);
    division.report(report('b', 2, 0), 350);
    expect(division.report(report('b', 2, 2, 2), 700).get('e') ?? 0).toBe(0);
    expect(division.report(report('b', 2, 2, 2), 1_250).get('e')).toBe(2);
  });
});

describe('LearnedRoom', () => {
  it('is what an endpoint ran when it refused, and one more with each second', () => {
    // Guards against refusals that go on since the memory of an endpoint is full.
    const room = new LearnedRoom();
    expect(room.placesAt(0)).toBe(Infinity);
    room.refused(30, 0);
    expect(room.placesAt(900)).toBe(30);
    expect(room.placesAt(2_000)).toBe(32);
    room.refused(40, 2_000);
    expect(room.placesAt(2_000)).toBe(32);
  });
});

describe('HostPlaces', () => {
  it('are its own again once no other host may give them out', () => {
    // Guards against a host that uses what it has handed over.
    const places = new HostPlaces();
    expect(places.allottedAt('e', 0)).toBe(undefined);
    places.handedOver(new Map([['e', 1]]), 950);
    expect(places.allottedAt('e', 949)).toBe(1);
    expect(places.allottedAt('other', 949)).toBe(0);
    places.allotted(new Map([['e', 3]]));
    expect(places.allottedAt('e', 949)).toBe(3);
    expect(places.allottedAt('e', 950)).toBe(undefined);
  });
});

describe('ServiceBrittleness', () => {
  it('ends when no endpoint says so any more, or none was heard for long', () => {
    // Guards against a brittle time that outlives what endpoints say.
    const brittleness = new ServiceBrittleness();
    expect(brittleness.isBrittle(0)).toBe(false);
    brittleness.said('e', 100);
    brittleness.told(50);
    expect(brittleness.isBrittle(4_000)).toBe(true);
    expect(brittleness.isBrittle(5_200)).toBe(false);
    brittleness.said('e', 5_300);
    brittleness.saidNothing('e', 5_400);
    expect(brittleness.isBrittle(5_500)).toBe(false);
  });

  it('ends at all endpoints when one stops to say so, until another says so again', () => {
    // Guards against endpoints that this host asks seldom and goes on to spare.
    const brittleness = new ServiceBrittleness();
    brittleness.said('e', 100);
    brittleness.said('f', 150);
    brittleness.said('g', 300);
    brittleness.saidNothing('e', 200);
    expect(brittleness.latestSaidAt).toBe(300);
    brittleness.saidNothing('g', 400);
    expect(brittleness.isBrittle(450)).toBe(false);
    brittleness.told(390);
    expect(brittleness.isBrittle(450)).toBe(false);
    brittleness.told(410);
    expect(brittleness.isBrittle(450)).toBe(true);
  });

  it('is known from other hosts', () => {
    const brittleness = new ServiceBrittleness();
    brittleness.told(100);
    expect(brittleness.isBrittle(200)).toBe(true);
    expect(brittleness.latestSaidAt).toBe(-Infinity);
    brittleness.saidNothing('e', 90);
    expect(brittleness.isBrittle(200)).toBe(true);
  });
});
