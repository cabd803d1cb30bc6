import {EventEmitter} from 'node:events';
import {expect, it} from 'vitest';

import {ExitCode, stopOnSignal} from '../binary.js';
import {StopSignal} from '../stop-signal.js';

it('ends what was accepted if the start fails after a stop signal', async () => {
  // Guards against connections that close without an answer when a start is abandoned.
  const source = new EventEmitter();
  const signal = new StopSignal(source);
  const calls: string[] = [];
  source.emit('SIGTERM');
  const code = await stopOnSignal(
    signal,
    Promise.reject(new Error('not started')),
    async () => {
      await new Promise(resolve => setImmediate(resolve));
      calls.push('abandoned');
    },
  );
  expect(calls).toEqual(['abandoned']);
  expect(code).toBe(ExitCode.Failure);
});
