import {Fate, StepError} from '@wisteriadeal/platform';
import {expect, test} from 'vitest';

import {FakeClock, MemoryLog, MemoryLogStore} from '../index.js';

function newLog() {
  const clock = new FakeClock();
  const store = new MemoryLogStore(clock);
  return {clock, store, log: new MemoryLog(store, clock)};
}

test('a record is stored although the answer to its append is lost', async () => {
  const {store, log} = newLog();
  store.faults.answersToLose = 1;
  const error: unknown = await log
    .append('ledger-0', Buffer.from('a'))
    .catch((reason: unknown) => reason);
  expect((error as StepError).fate).toBe(Fate.Unknown);
  expect(store.endOffset('ledger-0')).toBe(1);
});

test('retention drops the oldest records and keeps their offsets', async () => {
  const {store, log} = newLog();
  store.faults.retentionRecords = 2;
  for (const text of ['a', 'b', 'c']) {
    await log.append('ledger-0', Buffer.from(text));
  }
  const page = await log.read('ledger-0', 0, 10, 0);
  expect(page.firstOffset).toBe(1);
  expect(page.nextOffset).toBe(3);
  expect(page.records.map(record => record.offset)).toEqual([1, 2]);
});

test('a long-poll read ends with the next record or at its timeout', async () => {
  const {clock, log} = newLog();
  const early = log.read('ledger-0', 0, 10, 1_000);
  await clock.advance(1_000);
  expect((await early).records).toHaveLength(0);
  const later = log.read('ledger-0', 0, 10, 1_000);
  await clock.advance(10);
  await log.append('ledger-0', Buffer.from('a'));
  expect((await later).records).toHaveLength(1);
});
