import {HttpClient} from '@wisteriadeal/platform';
import {EventLog} from '@wisteriadeal/runtime';
import {LogLevel} from '@wisteriadeal/schema';
import {FakeHostLink} from '@wisteriadeal/stand-ins';
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import {LoopLag} from '../loop-lag.js';
import {StoreHealth} from '../store-health.js';

/** Returns the error of a call to a store that does not answer. */
async function timeoutOfCall(): Promise<unknown> {
  const server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const caller = new HttpClient('127.0.0.1', port, 'store');
  const timeouts = {connect: 1_000, total: 20};
  const call = {step: 'read', method: 'GET', path: '/', headers: {}, timeouts};
  try {
    return await caller.call(call).catch((error: unknown) => error);
  } finally {
    caller.close();
    server.close();
  }
}

describe('StoreHealth', () => {
  let health: StoreHealth;

  beforeEach(() => {
    const events = EventLog.create(LogLevel.INFO, {}, () => undefined);
    health = new StoreHealth('budgets', events);
  });

  function exchange(from: number, milliseconds: number): void {
    health.called(from);
    health.answered(from + milliseconds);
  }

  it('treats a call to a fast store as late after a short time', () => {
    exchange(0, 10);
    health.called(100);
    expect(health.millisecondsUntilLate(130)).toBe(30);
    expect(health.millisecondsUntilLate(160)).toBe(0);
  });

  it('waits longer for a store that is typically slow, within a limit', () => {
    // Guards against busy hosts that treat a typically slow store as unresponsive.
    exchange(0, 70);
    health.called(100);
    expect(health.millisecondsUntilLate(200)).toBe(110);
    exchange(300, 1_000);
    health.called(2_000);
    expect(health.millisecondsUntilLate(2_000)).toBe(250);
    expect(health.millisecondsUntilLate(2_250)).toBe(0);
  });

  it('does not wait while the store is unavailable', () => {
    exchange(0, 100);
    health.failed(200, 'gone');
    expect(health.millisecondsUntilLate(201)).toBe(0);
  });
});

describe('StoreHealth while the event loop is blocked', () => {
  let now: number;
  let health: StoreHealth;

  beforeEach(() => {
    vi.useFakeTimers({toFake: ['setTimeout', 'clearTimeout']});
    now = 0;
    const events = EventLog.create(LogLevel.INFO, {}, () => undefined);
    health = new StoreHealth('budgets', events, {lag: new LoopLag(() => now)});
    health.answered(now);
    health.called(now);
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  /** Advances the clock and the timers. */
  function pass(milliseconds: number): void {
    for (let count = 0; count < milliseconds; count++) {
      now++;
      vi.advanceTimersByTime(1);
    }
  }

  /** Advances the clock but not the timers. */
  function block(milliseconds: number): void {
    now += milliseconds;
  }

  it('does not count blocked time as waiting for an answer', () => {
    // Guards against a busy host that borrows from others because of its own delay.
    block(2_000);
    expect(health.isResponsive(now)).toBe(true);
    expect(health.millisecondsUntilLate(now)).toBeGreaterThan(0);
    pass(1);
    expect(health.isResponsive(now)).toBe(true);
  });

  it('still detects a missing answer after a block', () => {
    // Guards against requests that keep waiting for an unreachable store.
    block(2_000);
    pass(61);
    expect(health.millisecondsUntilLate(now)).toBe(0);
    expect(health.isResponsive(now)).toBe(true);
    pass(250);
    expect(health.isResponsive(now)).toBe(false);
  });

  it('does not count repeated blocks as waiting for an answer', () => {
    // Guards against a busy host that borrows from others because of its own delay.
    for (let turn = 0; turn < 2; turn++) {
      block(500);
      pass(25);
    }
    expect(health.millisecondsUntilLate(now)).toBeGreaterThan(0);
  });
});

describe('StoreHealth of a host whose link is congested', () => {
  const DELAY_MILLISECONDS = 500;
  let link: FakeHostLink;
  let health: StoreHealth;

  beforeEach(() => {
    link = new FakeHostLink();
    const events = EventLog.create(LogLevel.INFO, {}, () => undefined);
    health = new StoreHealth('budgets', events, {link});
    health.answered(0);
    health.called(0);
  });

  it('does not count the delay of an append and a read as waiting', () => {
    // Guards against a host that borrows from others because of its own delay.
    link.delayMilliseconds = DELAY_MILLISECONDS;
    expect(health.millisecondsUntilLate(1_000)).toBe(60);
    expect(health.isResponsive(1_249)).toBe(true);
    expect(health.isResponsive(1_250)).toBe(false);
  });

  it('counts all waiting time once the link is no longer congested', () => {
    // Guards against requests that keep waiting for an unreachable store.
    link.delayMilliseconds = DELAY_MILLISECONDS;
    expect(health.isResponsive(300)).toBe(true);
    link.delayMilliseconds = 0;
    expect(health.isResponsive(300)).toBe(false);
    expect(health.millisecondsUntilLate(300)).toBe(0);
  });
});

describe('StoreHealth of a store that stays unavailable', () => {
  let link: FakeHostLink;
  let lines: Record<string, unknown>[];
  let health: StoreHealth;

  beforeEach(() => {
    link = new FakeHostLink();
    lines = [];
    const events = EventLog.create(LogLevel.INFO, {}, line => {
      lines.push(JSON.parse(line) as Record<string, unknown>);
    });
    health = new StoreHealth('budgets', events, {link});
    health.answered(0);
  });

  function failEach(milliseconds: number, from: number, to: number): void {
    for (let now = from; now <= to; now += milliseconds) {
      health.failed(now, 'refused');
    }
  }

  function stillUnavailableLines(): readonly Record<string, unknown>[] {
    return lines.filter(({event}) => event === 'store still unavailable');
  }

  it('logs every two seconds that calls keep failing', () => {
    // Guards against an outage of which only the first failure is logged.
    failEach(500, 1_000, 6_000);
    expect(
      lines.filter(({event}) => event === 'store unavailable'),
    ).toHaveLength(1);
    expect(stillUnavailableLines()).toMatchObject([
      {
        topic: 'budgets',
        unavailableMilliseconds: 2_000,
        failures: 5,
        reason: 'refused',
        isLinkDelay: false,
      },
      {unavailableMilliseconds: 4_000, failures: 9},
    ]);
  });

  it('logs in each line whether the link was congested', async () => {
    // Guards against outages whose later failures are attributed to the link.
    const timeout = await timeoutOfCall();
    health.failed(1_000, 'refused');
    link.delayMilliseconds = 500;
    health.failed(3_000, timeout);
    link.delayMilliseconds = 0;
    health.failed(5_000, timeout);
    expect(stillUnavailableLines().map(({isLinkDelay}) => isLinkDelay)).toEqual(
      [true, false],
    );
  });

  it('resets the time and the count of failures after an answer', () => {
    // Guards against log lines that include an earlier outage.
    failEach(500, 1_000, 2_500);
    health.answered(2_600);
    failEach(500, 3_000, 5_000);
    expect(stillUnavailableLines()).toMatchObject([
      {unavailableMilliseconds: 2_000, failures: 5},
    ]);
  });
});
