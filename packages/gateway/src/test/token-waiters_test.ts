import {describe, expect, it} from 'vitest';

import {
  BudgetRefusal,
  TokenUse,
  TokenWaiters,
  type TokenWaiter,
} from '../token-waiters.js';

function waiter(use: TokenUse, rank: number, ended: string[]): TokenWaiter {
  const name = `${use} ${rank}`;
  return {
    bound: 100,
    use,
    rank,
    done: refusal => ended.push(`${name}: ${refusal ?? 'served'}`),
  };
}

describe('TokenWaiters', () => {
  it('serves ready answers first, and then the more urgent', () => {
    // The caller whose answer is ready gets it next; the others follow by urgency, and
    // in their order within it.
    const line = new TokenWaiters();
    const ended: string[] = [];
    line.add(waiter(TokenUse.Dispatch, 2, ended));
    line.add(waiter(TokenUse.Dispatch, 0, ended));
    line.add(waiter(TokenUse.Delivery, 0, ended));
    while (line.first !== undefined) {
      line.remove(line.first);
    }
    expect(ended).toEqual([
      'delivery 0: served',
      'dispatch 0: served',
      'dispatch 2: served',
    ]);
  });

  it('keeps a ready answer in line while its tokens may still come', () => {
    // The caller's request has run: it can't be told that it has not. What was sent
    // nowhere is refused at once.
    const line = new TokenWaiters();
    const ended: string[] = [];
    line.add(waiter(TokenUse.Delivery, 0, ended));
    line.add(waiter(TokenUse.Dispatch, 1, ended));
    line.refuseFirst(BudgetRefusal.HeldElsewhere);
    line.refuseUndispatched(BudgetRefusal.StoreAway);
    expect(ended).toEqual([`dispatch 1: ${BudgetRefusal.StoreAway}`]);
    line.refuseFirst(BudgetRefusal.Exhausted);
    expect(line.count).toBe(0);
  });
});
