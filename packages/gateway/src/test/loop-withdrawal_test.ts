import {EventLog, SystemClock} from '@wisteriadeal/runtime';
import {LogLevel} from '@wisteriadeal/schema';
import {expect, it} from 'vitest';

import {LoopWithdrawal} from '../rotation/index.js';
import {StoreHealth} from '../store-health.js';

class FixedTime extends SystemClock {
  wall = 0;

  override wallMilliseconds(): number {
    return this.wall;
  }
}

it('has no turn while the budget store is unavailable', () => {
  // Guards against sending callers to hosts that hold no tokens for them.
  const clock = new FixedTime();
  const events = EventLog.create(LogLevel.ERROR, {}, () => undefined);
  const store = new StoreHealth('budgets', events);
  const withdrawal = new LoopWithdrawal({
    host: 'a',
    listedHosts: () => ['a', 'b', 'c'],
    store,
    clock,
  });
  while (withdrawal.allowance().maximumAbsenceMilliseconds === 0) {
    clock.wall += 1_000;
  }
  store.failed(1, new Error('refused'));
  expect(withdrawal.allowance().maximumAbsenceMilliseconds).toBe(0);
  store.answered(2);
  expect(withdrawal.allowance().maximumAbsenceMilliseconds).toBeGreaterThan(0);
});
