import {EventEmitter} from 'node:events';
import {beforeEach, describe, expect, it} from 'vitest';

import {ExitCode, stopWhenTold, type RunningBinary} from '../binary.js';
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
    close: toldAgo => {
      stops.push(toldAgo);
      return Promise.resolve();
    },
  };
});

function turnOfEventLoop(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

describe('a stop by signal', () => {
  it('comes after the start where the signal came before', async () => {
    // Guards against callers that are cut when a process is told to stop early.
    let finishStart: () => void = () => undefined;
    const started = new Promise<RunningBinary>(resolve => {
      finishStart = () => {
        resolve(running);
      };
    });
    const stopped = stopWhenTold(signal, started);
    source.emit('SIGTERM');
    await turnOfEventLoop();
    expect(stops).toEqual([]);
    finishStart();
    expect(await stopped).toBe(ExitCode.Success);
    expect(stops).toHaveLength(1);
    expect(stops[0]).toBeGreaterThan(0);
  });

  it('begins once, whatever signals follow', async () => {
    // Guards against a second signal that ends a stop at once.
    const stopped = stopWhenTold(signal, Promise.resolve(running));
    expect(signal.age).toBe(0);
    for (const name of ['SIGTERM', 'SIGTERM', 'SIGINT']) {
      expect(source.emit(name)).toBe(true);
    }
    await stopped;
    source.emit('SIGTERM');
    await turnOfEventLoop();
    expect(stops).toHaveLength(1);
  });

  it('tells of a stop that failed', async () => {
    running.close = () => Promise.reject(new Error('not closed'));
    source.emit('SIGTERM');
    const code = await stopWhenTold(signal, Promise.resolve(running));
    expect(code).toBe(ExitCode.Failure);
  });
});
