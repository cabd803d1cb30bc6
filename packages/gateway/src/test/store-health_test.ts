import {EventLog} from '@wisteriadeal/runtime';
import {LogLevel} from '@wisteriadeal/schema';
import {FakeHostLink} from '@wisteriadeal/stand-ins';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import {LoopLag} from '../loop-lag.js';
import {StoreHealth} from '../store-health.js';

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

  it('calls a fast store late after a short time', () => {
    exchange(0, 10);
    health.called(100);
    expect(health.lateIn(130)).toBe(30);
    expect(health.lateIn(160)).toBe(0);
  });

  it('waits longer for a store that is slow as usual, within a limit', () => {
    // Busy hosts took a store that was slow as usual for one that did not answer.
    exchange(0, 70);
    health.called(100);
    expect(health.lateIn(200)).toBe(110);
    exchange(300, 1_000);
    health.called(2_000);
    expect(health.lateIn(2_000)).toBe(250);
    expect(health.lateIn(2_250)).toBe(0);
  });

  it('waits for nothing while the store is away', () => {
    exchange(0, 100);
    health.failed(200, 'gone');
    expect(health.lateIn(201)).toBe(0);
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
    expect(health.isAtHand(now)).toBe(true);
    expect(health.lateIn(now)).toBeGreaterThan(0);
    pass(1);
    expect(health.isAtHand(now)).toBe(true);
  });

  it('still detects a missing answer after a block', () => {
    // Guards against requests that keep waiting for an unreachable store.
    block(2_000);
    pass(61);
    expect(health.lateIn(now)).toBe(0);
    expect(health.isAtHand(now)).toBe(true);
    pass(250);
    expect(health.isAtHand(now)).toBe(false);
  });

  it('does not count repeated blocks as waiting for an answer', () => {
    // Guards against a busy host that borrows from others because of its own delay.
    for (let turn = 0; turn < 2; turn++) {
      block(500);
      pass(25);
    }
    expect(health.lateIn(now)).toBeGreaterThan(0);
  });
});

describe('StoreHealth of a host whose link is full', () => {
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
    expect(health.lateIn(1_000)).toBe(60);
    expect(health.isAtHand(1_249)).toBe(true);
    expect(health.isAtHand(1_250)).toBe(false);
  });

  it('counts all of it once the link is free', () => {
    // Guards against requests that keep waiting for an unreachable store.
    link.delayMilliseconds = DELAY_MILLISECONDS;
    expect(health.isAtHand(300)).toBe(true);
    link.delayMilliseconds = 0;
    expect(health.isAtHand(300)).toBe(false);
    expect(health.lateIn(300)).toBe(0);
  });
});
