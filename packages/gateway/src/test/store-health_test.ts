import {EventLog} from '@wisteriadeal/runtime';
import {LogLevel} from '@wisteriadeal/schema';
import {beforeEach, describe, expect, it} from 'vitest';

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
