import {create} from '@bufbuild/protobuf';
import {
  Fate,
  StepError,
  type Partition,
  type RecordRange,
} from '@wisteriadeal/platform';
import {BudgetFold, createCheckpoint} from '@wisteriadeal/budgets';
import {EventLog, SystemClock} from '@wisteriadeal/runtime';
import {GrantCeilingsSchema, LogLevel} from '@wisteriadeal/schema';
import {MemoryPartitionedLog} from '@wisteriadeal/stand-ins';
import {expect, it} from 'vitest';

import {
  budgetRecord,
  encodeCeilings,
  encodeCheckpoint,
  encodeRecord,
  type BudgetChange,
} from '../budget-codec.js';
import {BudgetReplica} from '../budget-replica.js';
import {
  BUDGET_PARTITION,
  CEILINGS_KEY,
  CHECKPOINT_KEY,
  CHECKPOINT_PARTITION,
} from '../budget-topics.js';

const HOST = 'one';
const CHECKPOINT_MILLISECONDS = 60_000;

const OPENED: BudgetChange = {
  case: 'opened',
  value: {
    $typeName: 'wisteriadeal.v1.HolderOpened',
    host: HOST,
    address: HOST,
    dataCenter: 'a',
    region: '',
  },
};
const REQUESTED: BudgetChange = {
  case: 'requested',
  value: {
    $typeName: 'wisteriadeal.v1.GrantRequested',
    organisation: 'school',
    least: 10,
    wish: 10,
    urgent: true,
    prepaid: 1_000,
    configurationVersion: 1,
    held: 0,
    pooledPart: 0.5,
  },
};

/** Returns one record for each read and fails one of the reads. */
class PagedLog extends MemoryPartitionedLog {
  private reads = 0;

  constructor(private readonly failedRead: number) {
    super();
  }

  override async read(
    partition: Partition,
    from: number,
    waitMilliseconds: number,
  ): Promise<RecordRange> {
    if (++this.reads === this.failedRead) {
      throw new StepError('read', 'store', Fate.NotDone, 'no answer');
    }
    const range = await super.read(partition, from, waitMilliseconds);
    return {...range, records: range.records.slice(0, 1)};
  }
}

it('returns the outcomes that were read before a failed read', async () => {
  // Guards against a verdict lost with a failed read: the host never requested the
  // organisation's tokens again, and its grant was lost.
  const log = new PagedLog(3);
  const ceilings = create(GrantCeilingsSchema, {
    generation: 1,
    ceilings: [{organisation: 'school', tokens: 20}],
  });
  await log.put(CHECKPOINT_PARTITION, CEILINGS_KEY, encodeCeilings(ceilings));
  await log.append(BUDGET_PARTITION, [
    encodeRecord(budgetRecord(HOST, 1, OPENED)),
    encodeRecord(budgetRecord(HOST, 2, REQUESTED)),
    encodeRecord(budgetRecord(HOST, 3, REQUESTED)),
  ]);
  const events = EventLog.create(LogLevel.INFO, {}, () => undefined);
  const clock = new SystemClock();
  const replica = new BudgetReplica(
    log,
    clock,
    CHECKPOINT_MILLISECONDS,
    events,
  );
  await expect(replica.catchUp()).rejects.toThrow(StepError);
  await replica.catchUp();
  expect(replica.takeOutcomes(HOST)).toMatchObject([
    {kind: 'opening'},
    {kind: 'grant', granted: 10},
    {kind: 'grant', granted: 10},
  ]);
  await replica.catchUp();
  expect(replica.takeOutcomes(HOST)).toEqual([]);
});

it.each([1e300, -1, 0.5, Infinity, NaN])(
  'reads the log from its start beside a checkpoint at offset %d',
  async offset => {
    // Guards against a host that waits for records far beyond the end, and is never ready.
    const log = new MemoryPartitionedLog();
    await log.append(BUDGET_PARTITION, [
      encodeRecord(budgetRecord(HOST, 1, OPENED)),
    ]);
    const checkpoint = encodeCheckpoint(
      createCheckpoint(new BudgetFold(offset)),
    );
    await log.put(CHECKPOINT_PARTITION, CHECKPOINT_KEY, checkpoint);
    const events = EventLog.create(LogLevel.INFO, {}, () => undefined);
    const replica = new BudgetReplica(
      log,
      new SystemClock(),
      CHECKPOINT_MILLISECONDS,
      events,
    );
    await replica.catchUp();
    expect(replica.takeOutcomes(HOST)).toMatchObject([{kind: 'opening'}]);
  },
);
