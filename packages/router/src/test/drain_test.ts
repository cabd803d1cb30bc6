import {expect, it} from 'vitest';

import {certify, chat, readStream} from './caller.js';
import {FakeEngine} from './fake-engine.js';
import {startRig, until} from './router-rig.js';

const STREAMS = 50;

// A router is told to stop with fifty streams open. Their callers see them end
// whole. New work is refused as not run while they go on, the balancer is told
// first, and the keeper hears of every bill before the goodbye.
it('ends fifty open streams whole in a graceful stop', async () => {
  const scripts = Array.from({length: STREAMS}, () => ({holdsAfter: 2}));
  const rig = await startRig({engine: new FakeEngine(scripts)});
  const open = await Promise.all(
    scripts.map((_, index) => chat(rig.url, `prompt${index}`)),
  );
  let left = false;
  const closing = rig.router.close().then(() => {
    left = true;
  });
  expect((await fetch(`${rig.url}/ready`)).status).toBe(503);
  const late = await chat(rig.url, 'late');
  expect(late.status).toBe(503);
  expect(late.headers.get('x-outcome')).toBe('not-run');
  const keyed = await certify(rig.url, '{}', {key: 'c'});
  expect(keyed.headers.get('x-outcome')).toBe('not-run');
  expect(rig.service.calls).toEqual([]);
  expect(left).toBe(false);

  rig.engine.release();
  const seen = await Promise.all(open.map(readStream));
  expect(seen.filter(({whole}) => whole)).toHaveLength(STREAMS);
  expect(new Set(seen.map(({text}) => text)).size).toBe(STREAMS);
  await closing;
  const kinds = rig.keeper.received.map(({kind}) => kind.case);
  expect(kinds.filter(kind => kind === 'settle')).toHaveLength(STREAMS);
  expect(kinds.at(-1)).toBe('goodbye');
});

// The platform's list says that the only endpoint leaves. A stream that runs
// there ends undisturbed; from the next message on it gets no new work.
it('gives a leaving endpoint no new work and leaves its streams alone', async () => {
  const rig = await startRig({engine: new FakeEngine([{holdsAfter: 2}])});
  const open = await chat(rig.url, 'hello');
  rig.keeper.tell({
    kind: {case: 'membership', value: {leavingEndpoints: ['engine-1']}},
  });
  await until(() => rig.engine.starts === 1);
  await new Promise(resolve => setTimeout(resolve, 10));
  const refused = await chat(rig.url, 'late');
  expect(refused.status).toBe(503);
  expect(refused.headers.get('x-outcome')).toBe('not-run');
  rig.engine.release();
  expect((await readStream(open)).whole).toBe(true);
  expect(rig.engine.starts).toBe(1);
  await rig.router.close();
});
