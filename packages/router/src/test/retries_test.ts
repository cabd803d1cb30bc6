import {Fate} from '@wisteriadeal/platform';
import {BeginVerdict} from '@wisteriadeal/schema';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {StatefulFakeKeeper} from './stateful-fake-keeper.js';
import {requestCertificate, chat, headersOf, readStream} from './caller.js';
import {FakeEngine, type StreamScript} from './fake-engine.js';
import {FakePlainService} from './fake-plain-service.js';
import {
  AcceleratedClock,
  OTHER_ORGANISATION_SECRET,
  startRig,
  testConfiguration,
  waitUntil,
  type RouterRig,
} from './router-rig.js';

/** Two routers of one data centre share a holder, an engine and a service. */
let keeper: StatefulFakeKeeper;
let first: RouterRig;
let second: RouterRig;

async function start(scripts: StreamScript[] = []): Promise<void> {
  keeper = new StatefulFakeKeeper(testConfiguration());
  const shared = {
    keeper,
    engine: new FakeEngine(scripts),
    service: new FakePlainService(),
    clock: new AcceleratedClock(),
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

const COMPLETE_TEXT = 'hello-0 hello-1 hello-2 hello-3 hello-4 ';

describe('a retry at another host', () => {
  // The caller's connection breaks while its stream runs at the first host, and
  // its retry reaches the second. The retry joins the running attempt: one start
  // at the engine, one bill, and the same bytes for both.
  it('joins the running stream', async () => {
    first.engine.scripts.push({pausesAfter: 2});
    const original = await chat(first.url, 'hello', {key: 'k'});
    const retry = chat(second.url, 'hello', {key: 'k'});
    await waitUntil(() => keeper.receivedOf('begin').length === 2);
    first.engine.release();
    const [one, other] = [
      await readStream(original),
      await readStream(await retry),
    ];
    expect(one).toMatchObject({text: COMPLETE_TEXT, complete: true});
    expect(other.raw).toBe(one.raw);
    expect(first.engine.starts).toBe(1);
    await waitUntil(() => keeper.receivedOf('settle').length > 0);
    expect(keeper.receivedOf('settle')).toHaveLength(1);
  });

  it('gets the kept answer after the request ended', async () => {
    const original = await readStream(
      await chat(first.url, 'hello', {key: 'k'}),
    );
    const retry = await readStream(await chat(second.url, 'hello', {key: 'k'}));
    expect(retry.raw).toBe(original.raw);
    expect(first.engine.starts).toBe(1);
  });

  // The first router fails with the stream open. The caller retries at another
  // host with its last event: the attempt is resumed at its engine, and the caller
  // gets exactly the rest.
  it('resumes the attempt of a lost router', async () => {
    first.engine.scripts.push({pausesAfter: 2});
    const broken = await chat(first.url, 'hello', {key: 'k'});
    expect(broken.status).toBe(200);
    keeper.markRouterLost(keeper.incarnationOf('host-1'));
    const rest = await readStream(
      await chat(second.url, 'hello', {key: 'k', lastEvent: 1}),
    );
    expect(rest).toMatchObject({
      text: 'hello-2 hello-3 hello-4 ',
      complete: true,
      lastId: 6,
    });
    expect(first.engine.starts).toBe(1);
  });

  // The router failed between its reservation and its dispatching message. The
  // holder returns an attempt without an endpoint, and the completion is rerun.
  it('reruns the request if the endpoint of its attempt is unknown', async () => {
    keeper.verdict = () => ({
      verdict: BeginVerdict.RESUME,
      resume: {attemptId: 'req_x.1', endpoint: ''},
    });
    const received = await readStream(
      await chat(second.url, 'hello', {key: 'k'}),
    );
    expect(received).toMatchObject({text: COMPLETE_TEXT, complete: true});
  });

  // A holder failed after granting a claim and before the router received the
  // verdict. Only that router may run the call, so it reports the claim as unused
  // until it has dispatched the call.
  it('reports a claim as unused until the call is dispatched', async () => {
    await requestCertificate(first.url, '{}', {key: 'c'});
    const firstBegin = keeper.receivedOf('begin')[0];
    expect(firstBegin?.claimUnused).toBe(true);
    keeper.verdict = () => undefined;
    await requestCertificate(second.url, '{}', {key: 'd'});
    await requestCertificate(second.url, '{}', {key: 'd'});
    const unused = keeper
      .receivedOf('begin')
      .filter(({requestId}) => requestId !== firstBegin?.requestId);
    expect(unused.every(({claimUnused}) => claimUnused)).toBe(true);
  });

  // The caller reconnects in another data centre, whose holder does not know the
  // request yet. The router that runs it is found and returns exactly the rest.
  it('gets the rest of a stream that runs in another data centre', async () => {
    const original = await readStream(
      await chat(first.url, 'hello', {key: 'k'}),
    );
    keeper.verdict = () => ({verdict: BeginVerdict.RESERVED});
    const rest = await readStream(
      await chat(second.url, 'hello', {key: 'k', lastEvent: 1}),
    );
    expect(rest).toMatchObject({
      text: 'hello-2 hello-3 hello-4 ',
      complete: true,
    });
    expect(original.raw.endsWith(rest.raw)).toBe(true);
    expect(keeper.receivedOf('abandon')).toHaveLength(1);
  });

  // The holder has lost its records and makes a new reservation. The text of a
  // new run can differ, so its events must not follow those of the earlier run.
  it('never gets events of two runs in one answer', async () => {
    keeper.markRouterLost(keeper.incarnationOf('host-1'));
    const received = await readStream(
      await chat(second.url, 'hello', {key: 'lost', lastEvent: 1}),
    );
    expect(received).toMatchObject({complete: false, status: 502});
    expect(first.engine.starts).toBe(0);
  });

  // A certificate was dispatched and its router failed, so it may have been
  // issued. The retry gets "outcome unknown" at once, without another call.
  it('does not repeat a certificate after its router was lost', async () => {
    await requestCertificate(first.url, '{}', {key: 'c'});
    keeper.markRouterLost(keeper.incarnationOf('host-1'));
    keeper.received.splice(0);
    const retry = await requestCertificate(second.url, '{}', {key: 'c'});
    expect(retry.status).toBe(504);
    expect(retry.headers.get('x-outcome')).toBe('unknown');
    expect(first.service.calls).toHaveLength(1);
  });

  // The answer to a begin was lost, so the holder treats the next begin as a retry
  // and returns a join with this router. The router releases the reservation that
  // it never used, and runs the request.
  it('runs if the holder returns a join with this router', async () => {
    const {verdict} = keeper;
    keeper.verdict = (begin, router) =>
      keeper.receivedOf('abandon').length === 0
        ? {verdict: BeginVerdict.JOIN, router: router ?? {}}
        : verdict(begin, router);
    const received = await readStream(
      await chat(first.url, 'hello', {key: 'k'}),
    );
    expect(received).toMatchObject({text: COMPLETE_TEXT, complete: true});
  });

  // The request ran in another data centre, and this one knows only its bill. The
  // router there still keeps the answer, and the caller gets it completely.
  it('gets the answer kept by a router of another data centre', async () => {
    const original = await readStream(
      await chat(first.url, 'hello', {key: 'k'}),
    );
    keeper.verdict = () => ({verdict: BeginVerdict.ANSWER_GONE});
    const retry = await readStream(await chat(second.url, 'hello', {key: 'k'}));
    expect(retry.raw).toBe(original.raw);
    const missing = await chat(second.url, 'hello', {key: 'other'});
    expect(missing.status).toBe(410);
  });

  it('with different content is refused at both hosts', async () => {
    await requestCertificate(first.url, '{"a":1}', {key: 'c'});
    const here = await requestCertificate(first.url, '{"a":2}', {key: 'c'});
    const there = await requestCertificate(second.url, '{"a":2}', {key: 'c'});
    expect([here.status, there.status]).toEqual([422, 422]);
    expect(first.service.calls).toHaveLength(1);
  });

  // Two organisations use the same key. Each has its own request: neither can join
  // or read the other's, even with the other's request identifier.
  it('with the same key of another organisation is a separate request', async () => {
    const own = await readStream(await chat(first.url, 'own', {key: 'k'}));
    const rival = await readStream(
      await chat(second.url, 'rival', {
        key: 'k',
        secret: OTHER_ORGANISATION_SECRET,
      }),
    );
    expect(rival.requestId).not.toBe(own.requestId);
    expect(rival.text).toContain('rival-0');
    for (const {url} of [first, second]) {
      const response = await fetch(
        `${url}/v1/requests/${own.requestId}/events`,
        {
          headers: headersOf({secret: OTHER_ORGANISATION_SECRET}),
        },
      );
      expect(response.status).toBe(404);
    }
  });

  it('without a key gets the rest by its request identifier', async () => {
    const original = await readStream(await chat(first.url, 'hello'));
    const rest = await readStream(
      await fetch(`${second.url}/v1/requests/${original.requestId}/events`, {
        headers: headersOf({lastEvent: 3}),
      }),
    );
    expect(rest).toMatchObject({text: 'hello-4 ', complete: true});
  });
});

describe('a key minted by a router', () => {
  // While the platform is unavailable, a caller's own key can't be claimed. A
  // minted key names the only router that may execute it: a retry at another host
  // attaches to that router.
  it('is executed only by the router that minted it', async () => {
    const minted = await fetch(`${first.url}/v1/keys`, {
      method: 'POST',
      headers: headersOf({}),
    });
    const {key} = (await minted.json()) as {key: string};
    const early = await requestCertificate(second.url, '{}', {key});
    expect(early.status).toBe(503);
    expect(first.service.calls).toEqual([]);
    const here = await requestCertificate(first.url, '{}', {key});
    const there = await requestCertificate(second.url, '{}', {key});
    expect([here.status, there.status]).toEqual([201, 201]);
    expect(await there.text()).toBe(await here.text());
    expect(first.service.calls).toHaveLength(1);
    expect(
      keeper.receivedOf('begin').map(({mintedHere}) => mintedHere),
    ).toEqual([true]);
  });
});

describe('a refusal', () => {
  // No holder answers. A request with a key may have run earlier at another
  // unreachable host, so "not run" can't be reported for it.
  it('is not reported as not run if an earlier attempt may have run', async () => {
    keeper.verdict = () => undefined;
    const keyed = await chat(first.url, 'hello', {key: 'k'});
    const unkeyed = await chat(first.url, 'hello');
    expect([keyed.status, unkeyed.status]).toEqual([503, 503]);
    expect(keyed.headers.get('x-outcome')).toBe('unknown');
    expect(unkeyed.headers.get('x-outcome')).toBe('not-run');
    expect(first.engine.starts).toBe(0);
  });

  it('allows a later request with the same key', async () => {
    const refused = {fails: Fate.NotDone};
    first.engine.scripts.push(refused, refused, refused);
    keeper.verdict = () => ({verdict: BeginVerdict.RESERVED});
    const early = await chat(first.url, 'hello', {key: 'k'});
    expect(early.headers.get('x-outcome')).toBe('not-run');
    const later = await readStream(await chat(first.url, 'hello', {key: 'k'}));
    expect(later).toMatchObject({text: COMPLETE_TEXT, complete: true});
  });
});
