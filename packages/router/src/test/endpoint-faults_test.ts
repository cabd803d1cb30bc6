import {Fate} from '@wisteriadeal/platform';
import {BeginVerdict, Outcome} from '@wisteriadeal/schema';
import {afterEach, describe, expect, it} from 'vitest';

import {requestCertificate, chat, headersOf, readStream} from './caller.js';
import {FakeEngine, type StreamScript} from './fake-engine.js';
import {CallScript, FakePlainService} from './fake-plain-service.js';
import {
  AcceleratedClock,
  startRig,
  waitUntil,
  type RouterRig,
} from './router-rig.js';

let rig: RouterRig;
let clock: AcceleratedClock;

async function startWith(
  scripts: StreamScript[],
  calls: CallScript[] = [],
): Promise<void> {
  clock = new AcceleratedClock();
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

const COMPLETE_TEXT = 'hello-0 hello-1 hello-2 hello-3 hello-4 ';

describe('engine faults', () => {
  // The engine returns the stream of another attempt, mixed up on a reused
  // connection. Its text must never reach this caller: the stream is dropped, and
  // the caller's own attempt is read from its start.
  it('drops the stream of another attempt', async () => {
    await startWith([{otherAttemptId: 'req_other.1'}]);
    const received = await readStream(await chat(rig.url, 'hello'));
    expect(received).toMatchObject({text: COMPLETE_TEXT, complete: true});
  });

  // The connection stalls after two events, and a resume reads the rest. Events
  // that arrive late on the first connection must not be added to the completed
  // answer, nor to any other one.
  it('discards events that arrive late, after a resume', async () => {
    await startWith([{pausesAfter: 2}]);
    const received = await readStream(await chat(rig.url, 'hello'));
    rig.engine.release();
    expect(received).toMatchObject({
      text: COMPLETE_TEXT,
      complete: true,
      lastId: 6,
    });
    const kept = await fetch(
      `${rig.url}/v1/requests/${received.requestId}/events`,
      {headers: headersOf({})},
    );
    expect((await readStream(kept)).raw).toBe(received.raw);
  });

  // An event is missing. The events after it must not be forwarded as if they
  // were contiguous: the stream is read again from the gap.
  it('reads a stream with a missing event again from the gap', async () => {
    await startWith([{skippedEvent: 2}]);
    const received = await readStream(await chat(rig.url, 'hello'));
    expect(received).toMatchObject({text: COMPLETE_TEXT, complete: true});
  });

  // The connection closes without an error before the end of the answer. A resume
  // reads the rest, without a gap or a repeated event.
  it('resumes a truncated stream and delivers it completely', async () => {
    await startWith([{truncatedAfter: 2}, {breaksAfter: 4}]);
    const received = await readStream(await chat(rig.url, 'hello'));
    expect(received).toMatchObject({
      text: COMPLETE_TEXT,
      complete: true,
      lastId: 6,
    });
    expect(rig.engine.starts).toBe(1);
  });

  // The engine truncates the stream at every resume. The caller has received two
  // events, must learn that the answer is incomplete, and is billed only for the
  // generated tokens.
  it('reports a stream that stays truncated as failed', async () => {
    await startWith([
      {truncatedAfter: 2},
      {truncatedAfter: 2},
      {truncatedAfter: 2},
    ]);
    const received = await readStream(await chat(rig.url, 'hello'));
    expect(received.complete).toBe(false);
    expect(received.problem).toContain('failed-after-running');
    expect(received.text).toBe('hello-0 hello-1 ');
    await waitUntil(() => rig.keeper.receivedOf('settle').length === 1);
    expect(rig.keeper.receivedOf('settle')[0]?.bill).toMatchObject({
      tokens: 5,
      confirmed: true,
      outcome: Outcome.FAILED_AFTER_RUNNING,
    });
  });

  // The answer to the start is lost and the engine does not know the attempt. A
  // completion is idempotent and its caller has received no event, so it runs
  // again and is billed once.
  it('reruns a completion with an unknown outcome and bills it once', async () => {
    const refused = {fails: Fate.NotDone};
    const lost = {fails: Fate.Unknown, ignoresAttempt: true};
    await startWith([lost, refused, refused, refused]);
    const received = await readStream(await chat(rig.url, 'hello'));
    expect(received).toMatchObject({text: COMPLETE_TEXT, complete: true});
    await waitUntil(() => rig.keeper.receivedOf('settle').length === 1);
    expect(rig.keeper.receivedOf('settle')[0]?.bill?.tokens).toBe(8);
  });

  // The answer to the start is lost and the engine does not know the attempt, in
  // the first run and in the rerun. The attempt may still arrive and run, so the
  // outcome is reported as unknown, and the bound is charged as unconfirmed.
  it('reports the outcome as unknown if the rerun is lost too', async () => {
    const lost = {fails: Fate.Unknown, ignoresAttempt: true};
    const refused = {fails: Fate.NotDone};
    const attempt = [lost, refused, refused, refused];
    await startWith([...attempt, ...attempt]);
    const response = await chat(rig.url, 'hello');
    expect(response.status).toBe(504);
    expect(response.headers.get('x-outcome')).toBe('unknown');
    await waitUntil(() => rig.keeper.receivedOf('settle').length === 1);
    expect(rig.keeper.receivedOf('settle')[0]?.bill).toMatchObject({
      tokens: 33,
      confirmed: false,
      outcome: Outcome.UNKNOWN,
    });
  });

  // No endpoint accepts a connection, so nothing was dispatched. This is the only
  // failure after the dispatching message that may be reported as not run.
  it('reports a request as not run if no endpoint was reached', async () => {
    const refused = {fails: Fate.NotDone};
    await startWith([refused, refused, refused]);
    const response = await chat(rig.url, 'hello');
    expect(response.headers.get('x-outcome')).toBe('not-run');
    expect(rig.engine.starts).toBe(0);
    await waitUntil(() => rig.keeper.receivedOf('abandon').length === 1);
    expect(rig.keeper.receivedOf('settle')).toEqual([]);
  });
});

describe('a certificate', () => {
  // The service issues the certificate and the answer is lost. A second call
  // would assign two numbers to one person, so the outcome is reported as unknown
  // to the caller and to a retry with the same key, without another call.
  it('is never issued twice if its answer is lost', async () => {
    await startWith([], [CallScript.LosesAnswer]);
    const first = await requestCertificate(rig.url, '{}', {key: 'c-1'});
    const retry = await requestCertificate(rig.url, '{}', {key: 'c-1'});
    expect([first.status, retry.status]).toEqual([504, 504]);
    expect(retry.headers.get('x-outcome')).toBe('unknown');
    expect(rig.service.calls).toHaveLength(1);
  });

  // Two retries arrive while the first request runs: all three get one answer.
  it('is issued once for concurrent requests with one key', async () => {
    await startWith([]);
    const tries = await Promise.all(
      [1, 2, 3].map(() => requestCertificate(rig.url, '{}', {key: 'c-1'})),
    );
    expect(tries.map(({status}) => status)).toEqual([201, 201, 201]);
    expect(rig.service.calls).toHaveLength(1);
  });

  // The router is paused after its claim was granted, and the holder gives up the
  // claim meanwhile. The resumed router then reads the reservation. It must not
  // dispatch, because a retry may already have been given another outcome.
  it('is not issued by a router that was paused after its claim', async () => {
    await startWith([]);
    rig.keeper.verdict = () => {
      clock.pausedMilliseconds += 4_000;
      return {verdict: BeginVerdict.RESERVED};
    };
    const response = await requestCertificate(rig.url, '{}', {key: 'c-1'});
    expect(response.status).toBe(503);
    expect(response.headers.get('x-outcome')).toBe('not-run');
    expect(rig.service.calls).toEqual([]);
    expect(rig.keeper.receivedOf('abandon')).toHaveLength(1);
  });

  it('is looked up, not repeated, if the service has an outcome path', async () => {
    await startWith([], [CallScript.LosesAnswer]);
    const call = rig.keeper.configuration.services[1]?.calls[0];
    Object.assign(call ?? {}, {outcomePath: '/outcomes'});
    const response = await requestCertificate(rig.url, '{"a":1}', {key: 'c-1'});
    expect(response.status).toBe(201);
    expect(rig.service.calls).toHaveLength(1);
  });
});

describe('an idempotent call', () => {
  it('is repeated after a lost answer and billed once', async () => {
    await startWith([], [CallScript.LosesAnswer]);
    const response = await fetch(
      `${rig.url}/v1/services/registry-app/records?name=A`,
      {headers: headersOf({})},
    );
    expect(await response.json()).toMatchObject({path: '/records?name=A'});
    expect(rig.service.calls).toHaveLength(2);
    await waitUntil(() => rig.keeper.receivedOf('settle').length === 1);
    expect(rig.keeper.receivedOf('settle')[0]?.bill?.tokens).toBe(2);
  });
});
