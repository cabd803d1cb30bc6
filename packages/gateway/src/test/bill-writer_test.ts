import {fromBinary} from '@bufbuild/protobuf';
import {EventLog} from '@wisteriadeal/runtime';
import {BillOutcome, LogLevel, RequestBillsSchema} from '@wisteriadeal/schema';
import {FakeClock, MemoryPartitionedLog} from '@wisteriadeal/stand-ins';
import {beforeEach, describe, expect, it} from 'vitest';

import {BillWriter} from '../bill-writer.js';
import {BILL_PARTITION} from '../budget-topics.js';

let log: MemoryPartitionedLog;
let clock: FakeClock;
let bills: BillWriter;

beforeEach(() => {
  log = new MemoryPartitionedLog();
  clock = new FakeClock();
  const events = EventLog.create(LogLevel.ERROR, {}, () => undefined);
  bills = new BillWriter('host-1', log, clock, events);
});

function add(count: number): void {
  for (let bill = 0; bill < count; bill++) {
    bills.add({
      requestId: `request-${bill}`,
      organisation: 'school',
      inputTokens: 1,
      outputTokens: 1,
      endpoint: 'i-1',
      outcome: BillOutcome.ANSWERED,
    });
  }
}

async function written(): Promise<readonly string[]> {
  const {records} = await log.read(BILL_PARTITION, 0, 0);
  return records.flatMap(record =>
    fromBinary(RequestBillsSchema, record).bills.map(
      ({requestId}) => requestId,
    ),
  );
}

describe('BillWriter', () => {
  it('writes all queued bills before it closes', async () => {
    // Guards against losing the bills of an outage when the host stops after it.
    add(2_500);
    await bills.close();
    expect(new Set(await written()).size).toBe(2_500);
  });

  it('closes after the write in progress', async () => {
    // Guards against closing between an append and the store's answer to it.
    let answered = 0;
    const append = log.append.bind(log);
    log.append = async (partition, records) => {
      const offset = await append(partition, records);
      answered++;
      return offset;
    };
    log.faults.answerDelayMilliseconds = 20;
    add(1);
    const running = bills.run();
    await clock.advance(2_000);
    expect(answered).toBe(0);
    await bills.close();
    expect(answered).toBe(1);
    await running;
  });

  it('closes while the store is unavailable', async () => {
    // Guards against a host that waits for the end of an outage before it stops.
    log.faults.isUnavailable = true;
    add(1);
    await bills.close();
    log.faults.isUnavailable = false;
    expect(await written()).toEqual([]);
  });
});
