import {Fate, StepError} from '@wisteriadeal/platform';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import {budgetRecord, encodeRecord} from '../budget-codec.js';
import {HolderFleet, SCHOOL} from './holder-fleet.js';

const PREPAID_TOKENS = 100_000;
const LARGE_REQUEST_TOKENS = 30_000;
const HOST = 'one';
/** The first record of an earlier process on the host, which the log gets late. */
const LATE_OPENING = encodeRecord(
  budgetRecord('predecessor', 1, {
    case: 'opened',
    value: {
      $typeName: 'wisteriadeal.v1.HolderOpened',
      host: HOST,
      address: HOST,
      dataCenter: 'a',
      region: '',
    },
  }),
);

let fleet: HolderFleet;

beforeEach(() => {
  vi.useFakeTimers();
  fleet = new HolderFleet(PREPAID_TOKENS);
});

afterEach(() => {
  fleet.close();
  vi.useRealTimers();
});

/** The value of a promise after some time on the fake clock; undefined if it is pending. */
async function valueAfter<Value>(
  milliseconds: number,
  promise: Promise<Value>,
): Promise<Value | undefined> {
  let settled: Value | undefined;
  void promise.then(value => {
    settled = value;
  });
  await vi.advanceTimersByTimeAsync(milliseconds);
  return settled;
}

describe('BudgetHolder fenced by a late record of its predecessor', () => {
  it('opens again and serves the request whose tokens it was requesting', async () => {
    // Guards against a host that appends the same records to the log every 5 ms and gets
    // no tokens until it is restarted.
    const holder = await valueAfter(1_000, fleet.start(HOST));
    const append = fleet.log.append.bind(fleet.log);
    const appending = vi
      .spyOn(fleet.log, 'append')
      .mockImplementationOnce(async (partition, records) => {
        await append(partition, [LATE_OPENING]);
        return append(partition, records);
      });
    const reserved = holder?.reservations.reserve(SCHOOL, {
      bound: LARGE_REQUEST_TOKENS,
      mayPromise: false,
    });
    expect(await valueAfter(2_000, Promise.resolve(reserved))).toHaveProperty(
      'reservation',
    );
    expect(appending.mock.calls.length).toBeLessThan(10);
  });

  it('opens although its own opening was folded before the late one', async () => {
    // Guards against a process that is never ready because its opening's answer was lost.
    const append = fleet.log.append.bind(fleet.log);
    vi.spyOn(fleet.log, 'append').mockImplementationOnce(
      async (partition, records) => {
        await append(partition, [...records, LATE_OPENING]);
        throw new StepError('append', 'log', Fate.Unknown, 'answer lost');
      },
    );
    const holder = await valueAfter(2_000, fleet.start(HOST));
    expect(holder?.isReady).toBe(true);
  });
});
