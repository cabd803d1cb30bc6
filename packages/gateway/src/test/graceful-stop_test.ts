import {Clock} from '@wisteriadeal/platform';
import {EventLog, SystemClock} from '@wisteriadeal/runtime';
import {LogLevel} from '@wisteriadeal/schema';
import {describe, expect, it} from 'vitest';

import {turnOfEventLoop} from '../event-loop.js';
import {GracefulStop, type StopParts} from '../graceful-stop.js';

const NOTICE_MILLISECONDS = 2_600;
const GRACE_MILLISECONDS = 100_000;
/** The notice is over by then. */
const TOLD_AGO_MILLISECONDS = 10_000;

/** Its sleeps end a little early, as the system's may. */
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
      // A limit that is not reached.
      return new Promise(() => undefined);
    }
    this.time += Math.max(1, milliseconds - 2);
    return Promise.resolve();
  }
}

/** Parts whose steps take some turns of the event loop, and are noted at their end. */
function notingParts(ended: string[], clock: Clock): StopParts {
  const step = (name: string) => async () => {
    await turnOfEventLoop();
    await turnOfEventLoop();
    ended.push(name);
  };
  const parts = {
    callers: {
      beginStop: () => undefined,
      idle: step('answers sent'),
      drain: step('connections drained'),
    },
    handler: {beginStop: () => undefined, settled: step('runs settled')},
    budgets: {close: step('grants returned')},
    bills: {flush: step('bills flushed'), close: step('bills closed')},
    clock,
    events: EventLog.create(LogLevel.ERROR, {}, () => undefined),
  };
  return parts as unknown as StopParts;
}

describe('GracefulStop', () => {
  it('takes each step when the one before has ended', async () => {
    // Guards against grants and bills that go out before the runs that change them end.
    const ended: string[] = [];
    const parts = notingParts(ended, new SystemClock());
    await new GracefulStop(
      parts,
      GRACE_MILLISECONDS,
      TOLD_AGO_MILLISECONDS,
    ).run();
    expect(ended).toEqual([
      'answers sent',
      'runs settled',
      'grants returned',
      'bills flushed',
      'connections drained',
      'runs settled',
      'bills closed',
    ]);
  });

  it('ends its notice no sooner than it said', async () => {
    // Guards against grants that go back while requests are still let in.
    const clock = new EarlyClock();
    const parts = notingParts([], clock);
    await new GracefulStop(parts, GRACE_MILLISECONDS, 0).run();
    expect(clock.monotonicMilliseconds()).toBe(NOTICE_MILLISECONDS);
  });
});
