import {describe, expect, it} from 'vitest';

import {
  BudgetRefusal,
  TokenUse,
  TokenWaiters,
  type TokenWaiter,
} from '../token-waiters.js';

function waiter(use: TokenUse, name: string, ended: string[]): TokenWaiter {
  return {
    bound: 100,
    use,
    done: refusal => ended.push(`${name}: ${refusal ?? 'served'}`),
  };
}

describe('TokenWaiters', () => {
  it('serves ready answers first and other requests in order of arrival', () => {
    // Guards against added latency for answers whose work is already done.
    const waiters = new TokenWaiters();
    const ended: string[] = [];
    waiters.add(waiter(TokenUse.Dispatch, 'first', ended));
    waiters.add(waiter(TokenUse.Dispatch, 'second', ended));
    waiters.add(waiter(TokenUse.Delivery, 'ready', ended));
    while (waiters.first !== undefined) {
      waiters.remove(waiters.first);
    }
    expect(ended).toEqual(['ready: served', 'first: served', 'second: served']);
  });

  it('keeps a ready answer queued while its tokens may still come', () => {
    // Guards against a refusal of a request that has run, whose caller must not be told
    // that it has not. Requests that were not dispatched are refused immediately.
    const waiters = new TokenWaiters();
    const ended: string[] = [];
    waiters.add(waiter(TokenUse.Delivery, 'ready', ended));
    waiters.add(waiter(TokenUse.Dispatch, 'new', ended));
    waiters.refuseFirst(BudgetRefusal.HeldElsewhere);
    waiters.refuseUndispatched(BudgetRefusal.StoreUnavailable);
    expect(ended).toEqual([`new: ${BudgetRefusal.StoreUnavailable}`]);
    waiters.refuseFirst(BudgetRefusal.Exhausted);
    expect(waiters.count).toBe(0);
  });
});
