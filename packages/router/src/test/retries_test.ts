import {Fate} from '@wisteriadeal/platform';
import {BeginVerdict} from '@wisteriadeal/schema';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {BookingKeeper} from './booking-keeper.js';
import {certify, chat, headersOf, readStream} from './caller.js';
import {FakeEngine, type StreamScript} from './fake-engine.js';
import {FakePlainService} from './fake-plain-service.js';
import {
  HurriedClock,
  RIVAL,
  startRig,
  testConfiguration,
  until,
  type RouterRig,
} from './router-rig.js';

/** Two routers of one data centre with one holder, one engine, one service. */
let keeper: BookingKeeper;
let first: RouterRig;
let second: RouterRig;

async function start(scripts: StreamScript[] = []): Promise<void> {
  keeper = new BookingKeeper(testConfiguration());
  const shared = {
    keeper,
    engine: new FakeEngine(scripts),
    service: new FakePlainService(),
    clock: new HurriedClock(),
  };
  first = await startRig({...shared, host: 'host-1'});
  second = await startRig({...shared, host: 'host-2'});
  keeper.announceRouters();
}

beforeEach(() => start());

afterEach(async () => {
  first.engine.release();
  await first.router.close();
  await second.router.close();
});

const WHOLE = 'hello-0 hello-1 hello-2 hello-3 hello-4 ';

describe('a retry at another host', () => {
  // The caller's connection breaks while its stream runs at the first host; its
  // retry lands on the second. It joins the running attempt there: one start at
  // the engine, one bill, and the same bytes for both.
  it('joins the running stream', async () => {
    first.engine.scripts.push({holdsAfter: 2});
    const original = await chat(first.url, 'hello', {key: 'k'});
    const retry = chat(second.url, 'hello', {key: 'k'});
    await until(() => keeper.heard('begin').length === 2);
    first.engine.release();
    const [one, other] = [
      await readStream(original),
      await readStream(await retry),
    ];
    expect(one).toMatchObject({text: WHOLE, whole: true});
    expect(other.raw).toBe(one.raw);
    expect(first.engine.starts).toBe(1);
    await until(() => keeper.heard('settle').length > 0);
    expect(keeper.heard('settle')).toHaveLength(1);
  });

  it('gets the kept answer after the end', async () => {
    const original = await readStream(
      await chat(first.url, 'hello', {key: 'k'}),
    );
    const retry = await readStream(await chat(second.url, 'hello', {key: 'k'}));
    expect(retry.raw).toBe(original.raw);
    expect(first.engine.starts).toBe(1);
  });

  // The first router dies with the stream open. The caller sends its request to
  // another host, with the last event that it saw: the attempt goes on at its
  // engine, and the caller gets exactly the rest.
  it('continues the attempt of a router that died', async () => {
    first.engine.scripts.push({holdsAfter: 2});
    const broken = await chat(first.url, 'hello', {key: 'k'});
    expect(broken.status).toBe(200);
    keeper.routerDied(keeper.incarnationOf('host-1'));
    const rest = await readStream(
      await chat(second.url, 'hello', {key: 'k', lastEvent: 1}),
    );
    expect(rest).toMatchObject({
      text: 'hello-2 hello-3 hello-4 ',
      whole: true,
      lastId: 6,
    });
    expect(first.engine.starts).toBe(1);
  });

  // The router died between its reservation and telling where it dispatched. The
  // holder names an attempt without an endpoint; the completion runs anew.
  it('runs anew where nobody knows the endpoint', async () => {
    keeper.verdict = () => ({
      verdict: BeginVerdict.RESUME,
      resume: {attemptId: 'req_x.1', endpoint: ''},
    });
    const seen = await readStream(await chat(second.url, 'hello', {key: 'k'}));
    expect(seen).toMatchObject({text: WHOLE, whole: true});
  });

  // A holder died after a claim was won and before the router heard of it. Only
  // that router may run the call, so it says that it never did; once it has
  // dispatched it, it must not say so any more.
  it('vouches for an unused claim until it is used', async () => {
    await certify(first.url, '{}', {key: 'c'});
    const again = keeper.heard('begin')[0];
    expect(again?.claimUnused).toBe(true);
    keeper.verdict = () => undefined;
    await certify(second.url, '{}', {key: 'd'});
    await certify(second.url, '{}', {key: 'd'});
    const unused = keeper
      .heard('begin')
      .filter(({requestId}) => requestId !== again?.requestId);
    expect(unused.every(({claimUnused}) => claimUnused)).toBe(true);
  });

  // As above, but the holder lost its books and reserves anew. The new run may
  // word its answer otherwise, so its rest must not be sewn to what was seen.
  it('never sews two runs into one answer', async () => {
    keeper.routerDied(keeper.incarnationOf('host-1'));
    const seen = await readStream(
      await chat(second.url, 'hello', {key: 'lost', lastEvent: 1}),
    );
    expect(seen).toMatchObject({whole: false, status: 502});
    expect(first.engine.starts).toBe(0);
  });

  // A certificate was dispatched and its router died: it may have been issued.
  // The retry gets "outcome unknown" at once, and nothing is called again.
  it('does not repeat a certificate after its router died', async () => {
    await certify(first.url, '{}', {key: 'c'});
    keeper.routerDied(keeper.incarnationOf('host-1'));
    keeper.received.splice(0);
    const retry = await certify(second.url, '{}', {key: 'c'});
    expect(retry.status).toBe(504);
    expect(retry.headers.get('x-outcome')).toBe('unknown');
    expect(first.service.calls).toHaveLength(1);
  });

  // The answer of a begin was lost, so the holder takes the next try for a retry
  // and names this router itself. It releases what it never dispatched, and runs.
  it('is not sent in circles by a holder that names this router', async () => {
    const {verdict} = keeper;
    keeper.verdict = (begin, router) =>
      keeper.heard('abandon').length === 0
        ? {verdict: BeginVerdict.JOIN, router: router ?? {}}
        : verdict(begin, router);
    const seen = await readStream(await chat(first.url, 'hello', {key: 'k'}));
    expect(seen).toMatchObject({text: WHOLE, whole: true});
  });

  // The request ran in another data centre; only its bill is known here. The
  // router there still keeps the answer, and the caller gets it whole.
  it('gets the answer that a router of another data centre keeps', async () => {
    const original = await readStream(
      await chat(first.url, 'hello', {key: 'k'}),
    );
    keeper.verdict = () => ({verdict: BeginVerdict.ANSWER_GONE});
    const retry = await readStream(await chat(second.url, 'hello', {key: 'k'}));
    expect(retry.raw).toBe(original.raw);
    const gone = await chat(second.url, 'hello', {key: 'other'});
    expect(gone.status).toBe(410);
  });

  it('is refused with other content, here and there', async () => {
    await certify(first.url, '{"a":1}', {key: 'c'});
    const here = await certify(first.url, '{"a":2}', {key: 'c'});
    const there = await certify(second.url, '{"a":2}', {key: 'c'});
    expect([here.status, there.status]).toEqual([422, 422]);
    expect(first.service.calls).toHaveLength(1);
  });

  // Two organisations use the same key. Each has its own request: neither joins
  // nor reads the other's, even with the other's request identifier.
  it('of another organisation is another request', async () => {
    const own = await readStream(await chat(first.url, 'own', {key: 'k'}));
    const rival = await readStream(
      await chat(second.url, 'rival', {key: 'k', secret: RIVAL}),
    );
    expect(rival.requestId).not.toBe(own.requestId);
    expect(rival.text).toContain('rival-0');
    for (const {url} of [first, second]) {
      const stolen = await fetch(`${url}/v1/requests/${own.requestId}/events`, {
        headers: headersOf({secret: RIVAL}),
      });
      expect(stolen.status).toBe(404);
    }
  });

  it('without a key reads on by its request identifier', async () => {
    const original = await readStream(await chat(first.url, 'hello'));
    const rest = await readStream(
      await fetch(`${second.url}/v1/requests/${original.requestId}/events`, {
        headers: headersOf({lastEvent: 3}),
      }),
    );
    expect(rest).toMatchObject({text: 'hello-4 ', whole: true});
  });
});

describe('a key that the system minted', () => {
  // The platform is away, so a caller's own key can't be claimed. A minted key
  // names the one router that may execute it: a retry elsewhere attaches there.
  it('is executed only by the router that minted it', async () => {
    const minted = await fetch(`${first.url}/v1/keys`, {
      method: 'POST',
      headers: headersOf({}),
    });
    const {key} = (await minted.json()) as {key: string};
    const early = await certify(second.url, '{}', {key});
    expect(early.status).toBe(503);
    expect(first.service.calls).toEqual([]);
    const here = await certify(first.url, '{}', {key});
    const there = await certify(second.url, '{}', {key});
    expect([here.status, there.status]).toEqual([201, 201]);
    expect(await there.text()).toBe(await here.text());
    expect(first.service.calls).toHaveLength(1);
    expect(keeper.heard('begin').map(({mintedHere}) => mintedHere)).toEqual([
      true,
    ]);
  });
});

describe('a refusal', () => {
  // The holder can't be asked. A request with a key may have run before, at a
  // host that can't be asked either, so "not run" would be a guess.
  it('is not called not run where an earlier try may have run', async () => {
    keeper.verdict = () => undefined;
    const keyed = await chat(first.url, 'hello', {key: 'k'});
    const unkeyed = await chat(first.url, 'hello');
    expect([keyed.status, unkeyed.status]).toEqual([503, 503]);
    expect(keyed.headers.get('x-outcome')).toBe('unknown');
    expect(unkeyed.headers.get('x-outcome')).toBe('not-run');
    expect(first.engine.starts).toBe(0);
  });

  it('leaves the key free for the next try', async () => {
    const refused = {fails: Fate.NotDone};
    first.engine.scripts.push(refused, refused, refused);
    keeper.verdict = () => ({verdict: BeginVerdict.RESERVED});
    const early = await chat(first.url, 'hello', {key: 'k'});
    expect(early.headers.get('x-outcome')).toBe('not-run');
    const later = await readStream(await chat(first.url, 'hello', {key: 'k'}));
    expect(later).toMatchObject({text: WHOLE, whole: true});
  });
});
