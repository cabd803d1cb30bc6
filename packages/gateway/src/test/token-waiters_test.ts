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
  it('serves ready answers first, and the others in their order', () => {
    // The caller whose answer is ready gets it next: its work is done.
    const line = new TokenWaiters();
    const ended: string[] = [];
    line.add(waiter(TokenUse.Dispatch, 'first', ended));
    line.add(waiter(TokenUse.Dispatch, 'second', ended));
    line.add(waiter(TokenUse.Delivery, 'ready', ended));
    while (line.first !== undefined) {
      line.remove(line.first);
    }
    expect(ended).toEqual(['ready: served', 'first: served', 'second: served']);
  });

  it('keeps a ready answer in line while its tokens may still come', () => {
    // The caller's request has run: it can't be told that it has not. What was sent
    // nowhere is refused at once.
    const line = new TokenWaiters();
    const ended: string[] = [];
    line.add(waiter(TokenUse.Delivery, 'ready', ended));
    line.add(waiter(TokenUse.Dispatch, 'new', ended));
    line.refuseFirst(BudgetRefusal.HeldElsewhere);
    line.refuseUndispatched(BudgetRefusal.StoreUnavailable);
    expect(ended).toEqual([`new: ${BudgetRefusal.StoreUnavailable}`]);
    line.refuseFirst(BudgetRefusal.Exhausted);
    expect(line.count).toBe(0);
  });
});
