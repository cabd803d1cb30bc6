import {Clock} from '@wisteriadeal/platform';
import {EventLog, SystemClock} from '@wisteriadeal/runtime';
import {LogLevel} from '@wisteriadeal/schema';
import {describe, expect, it} from 'vitest';

import {nextEventLoopTurn} from '../event-loop.js';
import {GracefulStop, type StopParts} from '../graceful-stop.js';

const DEREGISTRATION_DELAY_MILLISECONDS = 2_600;
const GRACE_MILLISECONDS = 100_000;
/** The deregistration delay has passed by then. */
const STOP_REQUESTED_MILLISECONDS_AGO = 10_000;

/**
 * A clock whose sleeps end slightly early, as those of the operating system
 * may.
 */
class EarlyClock extends Clock {
  private time = 0;

  override monotonicMilliseconds(): number {
    return this.time;
  }

  override wallMilliseconds(): number {
    return this.time;
  }

  override sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
    if (signal !== undefined) {
      // A time limit that is not reached.
      return new Promise(() => undefined);
    }
    this.time += Math.max(1, milliseconds - 2);
    return Promise.resolve();
  }
}

/**
 * Creates parts whose steps take two turns of the event loop and record their
 * end.
 */
function recordingParts(ended: string[], clock: Clock): StopParts {
  const step = (name: string) => async () => {
    await nextEventLoopTurn();
    await nextEventLoopTurn();
    ended.push(name);
  };
  const parts = {
    callers: {
      beginStop: () => undefined,
      idle: step('answers sent'),
      drain: step('connections drained'),
    },
    handler: {beginStop: () => undefined, settled: step('runs settled')},
    budgets: {
      close: step('grants returned'),
      checkpointEnd: step('checkpoint written'),
    },
    tunnels: {beginStop: () => undefined, idle: step('tunnels ended')},
    bills: {flush: step('bills flushed'), close: step('bills closed')},
    clock,
    events: EventLog.create(LogLevel.ERROR, {}, () => undefined),
  };
  return parts as unknown as StopParts;
}

describe('GracefulStop', () => {
  it('starts each step after the one before has ended', async () => {
    // Guards against returning grants and writing bills before the requests
    // that change them have ended.
    const ended: string[] = [];
    const parts = recordingParts(ended, new SystemClock());
    await new GracefulStop(
      parts,
      GRACE_MILLISECONDS,
      STOP_REQUESTED_MILLISECONDS_AGO,
    ).run();
    expect(ended).toEqual([
      'answers sent',
      'runs settled',
      'tunnels ended',
      'grants returned',
      'bills flushed',
      'connections drained',
      'runs settled',
      'bills closed',
      'checkpoint written',
    ]);
  });

  it('waits for the whole deregistration delay', async () => {
    // Guards against returning grants while new requests are still admitted.
    const clock = new EarlyClock();
    const parts = recordingParts([], clock);
    await new GracefulStop(parts, GRACE_MILLISECONDS, 0).run();
    expect(clock.monotonicMilliseconds()).toBe(
      DEREGISTRATION_DELAY_MILLISECONDS,
    );
  });
});
