import fc from 'fast-check';
import {expect, test} from 'vitest';

import {EngineBatch} from '../engine-batch.js';
import {EngineOrders} from '../engine-orders.js';
import {expectedCompletion} from '../index.js';
import {EngineOrderKind} from '@wisteriadeal/platform';

const SEED = 20_261_202;

function work(attemptId: string, priority: number, length: number) {
  const prompt = [{role: 'user', content: `length=${length}`}];
  const completion = expectedCompletion('tutor', prompt, 64);
  return {attemptId, completion, priority, promptSteps: 0};
}

test('every attempt completes, with at most the number of slots running', () => {
  const attempts = fc.array(
    fc.record({priority: fc.nat(3), length: fc.integer({min: 1, max: 9})}),
    {minLength: 1, maxLength: 30},
  );
  fc.assert(
    fc.property(attempts, fc.integer({min: 1, max: 4}), (wanted, slots) => {
      const batch = new EngineBatch(slots, 100);
      const added = wanted.map(({priority, length}, index) =>
        batch.add(work(`a${index}`, priority, length)),
      );
      for (let steps = 0; batch.runningCount > 0; steps++) {
        expect(batch.runningCount).toBeLessThanOrEqual(slots);
        expect(steps).toBeLessThan(300);
        batch.step();
      }
      expect(added.map(attempt => attempt?.completionTokens)).toEqual(
        wanted.map(({length}) => length),
      );
    }),
    {seed: SEED},
  );
});

test('a free slot is assigned to the lowest priority number', () => {
  const batch = new EngineBatch(1, 10);
  const first = batch.add(work('first', 5, 1));
  const later = batch.add(work('later', 9, 1));
  const urgent = batch.add(work('urgent', 0, 1));
  batch.step();
  batch.step();
  expect(first?.finished).toBe(true);
  expect(urgent?.finished).toBe(true);
  expect(later?.finished).toBe(false);
});

test('a cancelled attempt frees its slot and keeps its token count', () => {
  const batch = new EngineBatch(1, 10);
  const long = batch.add(work('long', 0, 9));
  const next = batch.add(work('next', 0, 1));
  batch.step();
  if (long !== undefined) {
    batch.cancel(long);
  }
  batch.step();
  expect(long?.completionTokens).toBe(1);
  expect(long?.finishReason).toBe('cancelled');
  expect(next?.finishReason).toBe('stop');
});

test('an old fencing number is rejected only if fencing numbers are checked', () => {
  const kind = EngineOrderKind.LoadModel;
  const orders = [
    {kind, subject: 'new', fencingNumber: 2},
    {kind, subject: 'old', fencingNumber: 1},
  ];
  const checking = new EngineOrders(true);
  const ignoring = new EngineOrders(false);
  expect(orders.map(order => checking.accept(order))).toEqual([true, false]);
  expect(orders.map(order => ignoring.accept(order))).toEqual([true, true]);
});
