import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {IndexedHeap} from '../indexed-heap.js';

const change = fc.record({
  item: fc.nat({max: 20}),
  priority: fc.nat({max: 10}),
  isRemoval: fc.boolean(),
});

describe('IndexedHeap', () => {
  it('pops the remaining items in order of priority', () => {
    fc.assert(
      fc.property(fc.array(change), changes => {
        const heap = new IndexedHeap<number>();
        const model = new Map<number, number>();
        for (const {item, priority, isRemoval} of changes) {
          if (isRemoval) {
            expect(heap.remove(item)).toBe(model.delete(item));
          } else {
            heap.set(item, priority);
            model.set(item, priority);
          }
        }
        const popped: number[] = [];
        while (heap.size > 0) {
          const priority = heap.peekPriority() ?? -1;
          const item = heap.pop() ?? -1;
          expect(model.get(item)).toBe(priority);
          popped.push(priority);
        }
        const sorted = [...model.values()].sort((left, right) => left - right);
        expect(popped).toEqual(sorted);
      }),
      {seed: 6},
    );
  });
});
