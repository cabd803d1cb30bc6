import {Fate} from '@wisteriadeal/platform';
import {BeginVerdict, Outcome} from '@wisteriadeal/schema';
import {afterEach, describe, expect, it} from 'vitest';

import {certify, chat, headersOf, readStream} from './caller.js';
import {FakeEngine, type StreamScript} from './fake-engine.js';
import {CallScript, FakePlainService} from './fake-plain-service.js';
import {HurriedClock, startRig, until, type RouterRig} from './router-rig.js';

let rig: RouterRig;
let clock: HurriedClock;

async function startWith(
  scripts: StreamScript[],
  calls: CallScript[] = [],
): Promise<void> {
  clock = new HurriedClock();
  rig = await startRig({
    engine: new FakeEngine(scripts),
    service: new FakePlainService(calls),
    clock,
  });
}

afterEach(async () => {
  rig.engine.release();
  await rig.router.close();
});

const WHOLE = 'hello-0 hello-1 hello-2 hello-3 hello-4 ';

describe('a misbehaving engine', () => {
  // The engine answers with the stream of another attempt (crossed on a reused
  // connection). Its text must never reach this caller: the stream is dropped,
  // and the caller's own attempt is read from its start.
  it('never passes on a crossed answer', async () => {
    await startWith([{echoes: 'req_other.1'}]);
    const seen = await readStream(await chat(rig.url, 'hello'));
    expect(seen).toMatchObject({text: WHOLE, whole: true});
  });

  // The connection stalls after two events; the rest is read by a resume. Then
  // the first connection's events come after all, late: they must not be added
  // to an answer that is already whole, nor to anybody else's.
  it('discards what comes late', async () => {
    await startWith([{holdsAfter: 2}]);
    const seen = await readStream(await chat(rig.url, 'hello'));
    rig.engine.release();
    expect(seen).toMatchObject({text: WHOLE, whole: true, lastId: 6});
    const kept = await fetch(
      `${rig.url}/v1/requests/${seen.requestId}/events`,
      {headers: headersOf({})},
    );
    expect((await readStream(kept)).raw).toBe(seen.raw);
  });

  // An event is missing in the middle. The rest is not passed on as if it
  // followed: the stream is read again from the gap.
  it('never closes a gap silently', async () => {
    await startWith([{skips: 2}]);
    const seen = await readStream(await chat(rig.url, 'hello'));
    expect(seen).toMatchObject({text: WHOLE, whole: true});
  });

  // The connection ends quietly in the middle, as if the answer were whole. The
  // rest is read by a resume at the engine, without a gap or a repeat.
  it('resumes a truncated stream and gives the exact whole', async () => {
    await startWith([{truncatedAfter: 2}, {breaksAfter: 4}]);
    const seen = await readStream(await chat(rig.url, 'hello'));
    expect(seen).toMatchObject({text: WHOLE, whole: true, lastId: 6});
    expect(rig.engine.starts).toBe(1);
  });

  // The engine truncates every time. The caller has seen two events; it must
  // learn that this is no whole answer, and pay only for what was generated.
  it('reports a stream that stays truncated as failed', async () => {
    await startWith([
      {truncatedAfter: 2},
      {truncatedAfter: 2},
      {truncatedAfter: 2},
    ]);
    const seen = await readStream(await chat(rig.url, 'hello'));
    expect(seen.whole).toBe(false);
    expect(seen.problem).toContain('failed-after-running');
    expect(seen.text).toBe('hello-0 hello-1 ');
    await until(() => rig.keeper.heard('settle').length === 1);
    expect(rig.keeper.heard('settle')[0]?.bill).toMatchObject({
      tokens: 5,
      confirmed: true,
      outcome: Outcome.FAILED_AFTER_RUNNING,
    });
  });

  // As below, but only once. A completion is idempotent and its caller has seen
  // nothing, so it runs again and is billed once.
  it('runs a completion again of which nobody knows', async () => {
    const refused = {fails: Fate.NotDone};
    const lost = {fails: Fate.Unknown, forgets: true};
    await startWith([lost, refused, refused, refused]);
    const seen = await readStream(await chat(rig.url, 'hello'));
    expect(seen).toMatchObject({text: WHOLE, whole: true});
    await until(() => rig.keeper.heard('settle').length === 1);
    expect(rig.keeper.heard('settle')[0]?.bill?.tokens).toBe(8);
  });

  // The start's answer is lost and the engine then knows nothing of the attempt:
  // it may still arrive and run. Nobody can tell, so the caller is told that,
  // and the bound is charged and marked unconfirmed.
  it('tells an outcome that nobody knows', async () => {
    const lost = {fails: Fate.Unknown, forgets: true};
    const refused = {fails: Fate.NotDone};
    const attempt = [lost, refused, refused, refused];
    await startWith([...attempt, ...attempt]);
    const response = await chat(rig.url, 'hello');
    expect(response.status).toBe(504);
    expect(response.headers.get('x-outcome')).toBe('unknown');
    await until(() => rig.keeper.heard('settle').length === 1);
    expect(rig.keeper.heard('settle')[0]?.bill).toMatchObject({
      tokens: 33,
      confirmed: false,
      outcome: Outcome.UNKNOWN,
    });
  });

  // No endpoint takes a connection, so nothing was ever dispatched: this is the
  // one failure after the dispatching message that may be called not run.
  it('says not run only where no endpoint was reached', async () => {
    const refused = {fails: Fate.NotDone};
    await startWith([refused, refused, refused]);
    const response = await chat(rig.url, 'hello');
    expect(response.headers.get('x-outcome')).toBe('not-run');
    expect(rig.engine.starts).toBe(0);
    await until(() => rig.keeper.heard('abandon').length === 1);
    expect(rig.keeper.heard('settle')).toEqual([]);
  });
});

describe('a certificate', () => {
  // The service issues it and the answer is lost. A second call would put two
  // numbers on one person: the caller is told that the outcome is unknown, and a
  // retry with its key is told the same, without another call.
  it('is never issued twice when its answer is lost', async () => {
    await startWith([], [CallScript.LosesAnswer]);
    const first = await certify(rig.url, '{}', {key: 'c-1'});
    const retry = await certify(rig.url, '{}', {key: 'c-1'});
    expect([first.status, retry.status]).toEqual([504, 504]);
    expect(retry.headers.get('x-outcome')).toBe('unknown');
    expect(rig.service.calls).toHaveLength(1);
  });

  // Two retries arrive while the first try runs: all three get one answer.
  it('is issued once for concurrent tries with one key', async () => {
    await startWith([]);
    const tries = await Promise.all(
      [1, 2, 3].map(() => certify(rig.url, '{}', {key: 'c-1'})),
    );
    expect(tries.map(({status}) => status)).toEqual([201, 201, 201]);
    expect(rig.service.calls).toHaveLength(1);
  });

  // The router is paused after its claim was settled; meanwhile the holder gives
  // the claim up. When the router wakes, the reservation is the first thing that
  // it reads. It must not dispatch on it: another try may have been told
  // something else by then.
  it('is not issued by a router that was paused after its claim', async () => {
    await startWith([]);
    rig.keeper.verdict = () => {
      clock.pausedMilliseconds += 4_000;
      return {verdict: BeginVerdict.RESERVED};
    };
    const response = await certify(rig.url, '{}', {key: 'c-1'});
    expect(response.status).toBe(503);
    expect(response.headers.get('x-outcome')).toBe('not-run');
    expect(rig.service.calls).toEqual([]);
    expect(rig.keeper.heard('abandon')).toHaveLength(1);
  });

  it('is looked up, not repeated, where the service tells outcomes', async () => {
    await startWith([], [CallScript.LosesAnswer]);
    const call = rig.keeper.configuration.services[1]?.calls[0];
    Object.assign(call ?? {}, {outcomePath: '/outcomes'});
    const response = await certify(rig.url, '{"a":1}', {key: 'c-1'});
    expect(response.status).toBe(201);
    expect(rig.service.calls).toHaveLength(1);
  });
});

describe('a record look-up', () => {
  it('is repeated after a lost answer, and billed once', async () => {
    await startWith([], [CallScript.LosesAnswer]);
    const response = await fetch(
      `${rig.url}/v1/services/registry-app/records?name=A`,
      {headers: headersOf({})},
    );
    expect(await response.json()).toMatchObject({path: '/records?name=A'});
    expect(rig.service.calls).toHaveLength(2);
    await until(() => rig.keeper.heard('settle').length === 1);
    expect(rig.keeper.heard('settle')[0]?.bill?.tokens).toBe(2);
  });
});
