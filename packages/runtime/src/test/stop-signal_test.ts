import {EventEmitter} from 'node:events';
import {beforeEach, describe, expect, it} from 'vitest';

import {ExitCode, stopOnSignal, type RunningBinary} from '../binary.js';
import {StopSignal} from '../stop-signal.js';

let source: EventEmitter;
let signal: StopSignal;
let stops: number[];
let running: RunningBinary;

beforeEach(() => {
  source = new EventEmitter();
  signal = new StopSignal(source);
  stops = [];
  running = {
    close: millisecondsSinceStop => {
      stops.push(millisecondsSinceStop);
      return Promise.resolve();
    },
  };
});

function nextEventLoopTurn(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

describe('stopping on a signal', () => {
  it('waits for the start if the signal arrives earlier', async () => {
    // Guards against cutting callers' connections when the stop signal arrives during
    // the start.
    let finishStart: () => void = () => undefined;
    const started = new Promise<RunningBinary>(resolve => {
      finishStart = () => {
        resolve(running);
      };
    });
    const stopped = stopOnSignal(signal, started);
    source.emit('SIGTERM');
    await nextEventLoopTurn();
    expect(stops).toEqual([]);
    finishStart();
    expect(await stopped).toBe(ExitCode.Success);
    expect(stops).toHaveLength(1);
    expect(stops[0]).toBeGreaterThan(0);
  });

  it('happens once even if more signals follow', async () => {
    // Guards against a second signal that aborts the graceful shutdown.
    const stopped = stopOnSignal(signal, Promise.resolve(running));
    expect(signal.millisecondsSinceReceived).toBe(0);
    for (const name of ['SIGTERM', 'SIGTERM', 'SIGINT']) {
      expect(source.emit(name)).toBe(true);
    }
    await stopped;
    source.emit('SIGTERM');
    await nextEventLoopTurn();
    expect(stops).toHaveLength(1);
  });

  it('returns a failure code if closing fails', async () => {
    running.close = () => Promise.reject(new Error('not closed'));
    source.emit('SIGTERM');
    const code = await stopOnSignal(signal, Promise.resolve(running));
    expect(code).toBe(ExitCode.Failure);
  });
});
