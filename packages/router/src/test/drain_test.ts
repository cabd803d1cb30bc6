import {expect, it} from 'vitest';

import {requestCertificate, chat, readStream} from './caller.js';
import {FakeEngine} from './fake-engine.js';
import {startRig, waitUntil} from './router-rig.js';

const STREAMS = 50;

// A router is stopped while 50 streams are open. The router reports not ready to
// the load balancer first, refuses new requests as not run, completes the open
// streams, and sends every bill to the keeper before the goodbye.
it('completes 50 open streams in a graceful shutdown', async () => {
  const scripts = Array.from({length: STREAMS}, () => ({pausesAfter: 2}));
  const rig = await startRig({engine: new FakeEngine(scripts)});
  const open = await Promise.all(
    scripts.map((_, index) => chat(rig.url, `prompt${index}`)),
  );
  let isClosed = false;
  const closing = rig.router.close().then(() => {
    isClosed = true;
  });
  expect((await fetch(`${rig.url}/ready`)).status).toBe(503);
  const late = await chat(rig.url, 'late');
  expect(late.status).toBe(503);
  expect(late.headers.get('x-outcome')).toBe('not-run');
  const keyed = await requestCertificate(rig.url, '{}', {key: 'c'});
  expect(keyed.headers.get('x-outcome')).toBe('not-run');
  expect(rig.service.calls).toEqual([]);
  expect(isClosed).toBe(false);

  rig.engine.release();
  const received = await Promise.all(open.map(readStream));
  expect(received.filter(({complete}) => complete)).toHaveLength(STREAMS);
  expect(new Set(received.map(({text}) => text)).size).toBe(STREAMS);
  await closing;
  const kinds = rig.keeper.received.map(({kind}) => kind.case);
  expect(kinds.filter(kind => kind === 'settle')).toHaveLength(STREAMS);
  expect(kinds.at(-1)).toBe('goodbye');
});

// The platform's list reports the only endpoint as leaving. Its running stream
// completes, and new requests are refused.
it('places no new work at a leaving endpoint and completes its streams', async () => {
  const rig = await startRig({engine: new FakeEngine([{pausesAfter: 2}])});
  const open = await chat(rig.url, 'hello');
  rig.keeper.broadcast({
    kind: {case: 'membership', value: {leavingEndpoints: ['engine-1']}},
  });
  await waitUntil(() => rig.engine.starts === 1);
  await new Promise(resolve => setTimeout(resolve, 10));
  const refused = await chat(rig.url, 'late');
  expect(refused.status).toBe(503);
  expect(refused.headers.get('x-outcome')).toBe('not-run');
  rig.engine.release();
  expect((await readStream(open)).complete).toBe(true);
  expect(rig.engine.starts).toBe(1);
  await rig.router.close();
});
