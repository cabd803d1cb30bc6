import fc from 'fast-check';
import {beforeEach, describe, expect, it} from 'vitest';

import {OriginFleet, type OriginHost} from './origin-fleet.js';

const DATA_CENTERS = ['a', 'a', 'b', 'b', 'c'];
const V1 = {service: 'models', build: 'v1'};

let fleet: OriginFleet;
let id: string;

beforeEach(() => {
  fleet = new OriginFleet(DATA_CENTERS);
  id = fleet.addEndpoint('models', 'v1');
  fleet.addEndpoint('models', 'v1');
  fleet.addEndpoint('models', 'v2');
  fleet.read();
  fleet.clock.now += 100;
});

function cut(one: OriginHost, other: OriginHost): void {
  fleet.cuts.add(`${one.address} ${other.address}`);
}

it.each([1, 2, 3, 4])(
  'a stream whose endpoint had started again does not go on at host %i, which is not told',
  async host => {
    // Guards against a record that was taken back elsewhere.
    // The endpoint has another build by now, which the list does not tell yet.
    fleet.hostAt(0).began('s', V1);
    await fleet.settle();
    cut(fleet.hostAt(0), fleet.hostAt(host));
    fleet.restartEndpoint(id, 'v2');
    fleet.read();
    await fleet.settle();
    expect(await fleet.hostAt(0).originOf('s')).toBeUndefined();
    expect(await fleet.hostAt(host).originOf('s')).toBeUndefined();
  },
);

describe.each([1, 2, 3, 4])('a stream at host %i, which is not told', host => {
  it('does not go on while the list was not read since its endpoint had started again', async () => {
    // Guards against a record that is used while the list refutes it.
    fleet.hostAt(0).began('s', V1);
    await fleet.settle();
    cut(fleet.hostAt(0), fleet.hostAt(host));
    fleet.restartEndpoint(id, 'v2');
    expect(await fleet.hostAt(host).originOf('s')).toBeUndefined();
  });

  it('does not go on where the store is lost and others know better', async () => {
    // Guards against a host that asks nobody for a record which it can't check.
    fleet.hostAt(0).began('s', V1);
    await fleet.settle();
    cut(fleet.hostAt(0), fleet.hostAt(host));
    fleet.withoutStore.add(fleet.hostAt(host).address);
    fleet.restartEndpoint(id, 'v2');
    fleet.read();
    await fleet.settle();
    expect(await fleet.hostAt(host).originOf('s')).toBeUndefined();
  });

  it('goes on once its endpoint has renewed its entry', async () => {
    // Guards against streams of a proven build that are refused.
    fleet.hostAt(0).began('s', V1);
    await fleet.settle();
    fleet.clock.now += 100;
    fleet.read();
    fleet.restartEndpoint(id, 'v1', fleet.entryOf(id)?.bornAt);
    fleet.read();
    fleet.restartEndpoint(id, 'v2');
    fleet.read();
    await fleet.settle();
    expect(await fleet.hostAt(host).originOf('s')).toEqual(V1);
  });

  it('goes on while nothing shows another start', async () => {
    // Guards against streams that are refused as their endpoints are not heard of.
    fleet.hostAt(0).began('s', V1);
    await fleet.settle();
    cut(fleet.hostAt(0), fleet.hostAt(host));
    for (const {address} of fleet.hosts) {
      fleet.withoutStore.add(address);
    }
    expect(await fleet.hostAt(3).originOf('s')).toEqual(V1);
  });
});

const step = fc.record({
  what: fc.constantFrom(
    'begin',
    'begin',
    'take up',
    'take up',
    'start again',
    'start again',
    'list',
    'renew',
    'restart host',
    'cut',
    'lose store',
    'heal',
  ),
  host: fc.nat(DATA_CENTERS.length - 1),
  number: fc.nat(1_000),
  milliseconds: fc.integer({min: 1, max: 600}),
});

/** Endpoints that start again before the list tells, and the streams that they begin. */
class Releases {
  private readonly ids = ['v1', 'v1', 'v2'].map(build =>
    fleet.addEndpoint('models', build),
  );
  private readonly begun: {name: string; build: string}[] = [];
  /** Builds of endpoints whose latest start is not listed yet. */
  private readonly unlisted = new Map<string, string>();

  /** Has an endpoint begin a stream at a host that can read the list. */
  begin(at: OriginHost, number: number): void {
    const endpoint = this.endpointOf(number);
    const entry = at.endpointsOf('models').find(({id}) => id === endpoint);
    if (entry !== undefined && !fleet.withoutStore.has(at.address)) {
      const {service, build} = entry;
      const name = `s-${this.begun.length}`;
      this.begun.push({name, build: this.unlisted.get(endpoint) ?? build});
      at.began(name, {service, build}, endpoint);
    }
  }

  startAgain(number: number): void {
    this.list(number);
    this.unlisted.set(this.endpointOf(number), `v${number % 2}`);
  }

  list(number: number): void {
    const endpoint = this.endpointOf(number);
    const build = this.unlisted.get(endpoint);
    if (build !== undefined) {
      this.unlisted.delete(endpoint);
      fleet.restartEndpoint(endpoint, build);
    }
  }

  renew(number: number): void {
    const endpoint = this.endpointOf(number);
    const entry = fleet.entryOf(endpoint);
    if (entry !== undefined && !this.unlisted.has(endpoint)) {
      fleet.restartEndpoint(endpoint, entry.build, entry.bornAt);
    }
  }

  /** Takes all streams up once all starts are listed. */
  async takeUp(at: OriginHost): Promise<void> {
    this.ids.forEach((_endpoint, index) => {
      this.list(index);
    });
    if (!fleet.withoutStore.has(at.address)) {
      for (const {name, build} of this.begun) {
        const found = await at.originOf(name);
        expect([undefined, build]).toContain(found?.build);
      }
    }
  }

  private endpointOf(number: number): string {
    return this.ids[number % this.ids.length] ?? id;
  }
}

it('streams never go on at another build once the list tells what began them', async () => {
  // Guards against any order of starts, entries, kills and cuts that leaves a wrong record.
  await fc.assert(
    fc.asyncProperty(
      fc.array(step, {minLength: 10, maxLength: 30}),
      async steps => {
        fleet = new OriginFleet(DATA_CENTERS);
        const releases = new Releases();
        fleet.read();
        for (const {what, host, number, milliseconds} of steps) {
          fleet.clock.now += milliseconds;
          const at = fleet.hostAt(host);
          if (what === 'begin') {
            releases.begin(at, number);
          } else if (what === 'take up') {
            await releases.takeUp(at);
          } else if (what === 'start again') {
            releases.startAgain(number);
          } else if (what === 'list') {
            releases.list(number);
          } else if (what === 'renew') {
            releases.renew(number);
          } else if (what === 'restart host') {
            fleet.restart(host);
          } else if (what === 'cut') {
            cut(at, fleet.hostAt(number % DATA_CENTERS.length));
          } else if (what === 'lose store') {
            fleet.withoutStore.add(at.address);
          } else {
            fleet.heal();
          }
          fleet.read();
          await fleet.settle();
        }
      },
    ),
    {numRuns: Number(process.env.ORIGIN_RUNS ?? 20)},
  );
});
