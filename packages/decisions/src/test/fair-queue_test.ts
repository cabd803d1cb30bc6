import {describe, expect, it} from 'vitest';

import {FairQueue, WorkClass, type WorkItem} from '../index.js';

function work(
  requestId: string,
  organisation: string,
  workClass = WorkClass.Interactive,
): WorkItem {
  return {
    requestId,
    organisation,
    weight: 1,
    workClass,
    service: 'tutor-models',
    model: 'tutor-7b',
    promptTokens: 100,
    maximumOutputTokens: 100,
    prefixHashes: [],
    deadlineAt: 1_000,
  };
}

function push(queue: FairQueue, ...items: readonly WorkItem[]): void {
  for (const item of items) {
    queue.push({item, queuedAt: 0});
  }
}

function serve(queue: FairQueue): WorkItem | undefined {
  const next = queue.peek()?.item;
  if (next !== undefined) {
    queue.remove(next.requestId);
    queue.charge(next);
  }
  return next;
}

describe('FairQueue', () => {
  it('alternates between organisations regardless of arrival order', () => {
    const queue = new FairQueue();
    push(queue, work('a1', 'a'), work('a2', 'a'), work('a3', 'a'));
    push(queue, work('b1', 'b'));
    const order = [serve(queue), serve(queue), serve(queue), serve(queue)];
    expect(order.map(item => item?.requestId)).toEqual([
      'a1',
      'b1',
      'a2',
      'a3',
    ]);
  });

  it('serves a tenth of batch work while interactive work is always queued', () => {
    const queue = new FairQueue();
    const organisation = 'a';
    for (let index = 0; index < 100; index++) {
      push(queue, work(`batch-${index}`, organisation, WorkClass.Batch));
    }
    let batch = 0;
    for (let index = 0; index < 200; index++) {
      push(queue, work(`interactive-${index}`, organisation));
      batch += serve(queue)?.workClass === WorkClass.Batch ? 1 : 0;
    }
    expect(batch).toBeGreaterThanOrEqual(19);
    expect(batch).toBeLessThanOrEqual(22);
  });

  it('gives interactive work precedence only within its share', () => {
    const queue = new FairQueue();
    for (let index = 0; index < 200; index++) {
      push(queue, work(`batch-${index}`, 'within', WorkClass.Batch));
      push(queue, work(`interactive-${index}`, 'beyond'));
    }
    const served = Array.from({length: 200}, () => serve(queue)?.organisation);
    const within = served.filter(name => name === 'within').length;
    // Half of the requests, less the twenty requests of precedence.
    expect(within).toBeGreaterThanOrEqual(85);
  });

  it('is empty after all requests are removed', () => {
    const queue = new FairQueue();
    push(queue, work('a1', 'a'), work('b1', 'b', WorkClass.Batch));
    expect(queue.remove('a1')).toBe(true);
    expect(queue.remove('b1')).toBe(true);
    expect(queue.remove('b1')).toBe(false);
    expect(queue.size).toBe(0);
    expect(queue.peek()).toBeUndefined();
  });
});
