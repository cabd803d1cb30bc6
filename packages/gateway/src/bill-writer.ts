import {create, toBinary} from '@bufbuild/protobuf';
import {
  RequestBillsSchema,
  RequestBillSchema,
  type RequestBill,
} from '@wisteriadeal/schema';
import type {Clock, PartitionedLog} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';

import {BILL_PARTITION} from './budget-topics.js';

/** One request's bill; `BillWriter` adds the host. */
export type NewBill = Omit<RequestBill, '$typeName' | '$unknown' | 'host'>;

/** Interval between writes. About 100 bills arrive per second and share one call. */
const FLUSH_INTERVAL_MILLISECONDS = 1_500;
/** Number of bills queued while the store is unavailable; 20,000 use about 3 MB. */
const MAXIMUM_QUEUED_BILLS = 20_000;
/** Maximum bills in one record. At about 100 B each, they stay well below its limit. */
const MAXIMUM_BILLS_PER_RECORD = 1_000;

/**
 * Writes each request's bill to the store for people to read. The spending limit never
 * depends on it: the account is charged before.
 */
export class BillWriter {
  private queue: RequestBill[] = [];
  private droppedBills = 0;
  /** Resolves when the last write has ended; appends run one at a time. */
  private pendingWrite: Promise<void> = Promise.resolve();
  private readonly stop = new AbortController();

  constructor(
    private readonly host: string,
    private readonly log: PartitionedLog,
    private readonly clock: Clock,
    private readonly events: EventLog,
  ) {}

  /** Queues a bill, which is written within about two seconds, or drops it if the queue is full. */
  add(bill: NewBill): void {
    if (this.queue.length >= MAXIMUM_QUEUED_BILLS) {
      this.droppedBills++;
      return;
    }
    this.queue.push(create(RequestBillSchema, {...bill, host: this.host}));
  }

  /** Writes queued bills at each interval until the writer is closed. */
  async run(): Promise<void> {
    while (!this.stop.signal.aborted) {
      await this.clock.sleep(FLUSH_INTERVAL_MILLISECONDS, this.stop.signal);
      await this.flush();
    }
  }

  /** Stops the writer after a last attempt to write the queued bills. */
  async close(): Promise<void> {
    this.stop.abort();
    await this.flush();
  }

  /** Stops immediately; bills that are not written yet are lost. */
  abort(): void {
    this.queue = [];
    this.stop.abort();
  }

  /** Resolves when all queued bills are written or the store does not answer. */
  flush(): Promise<void> {
    this.pendingWrite = this.pendingWrite.then(() => this.writeAll());
    return this.pendingWrite;
  }

  private async writeAll(): Promise<void> {
    let isAnswered = true;
    while (isAnswered && this.queue.length > 0) {
      isAnswered = await this.writeBatch();
    }
  }

  /** @returns Whether the store answered. */
  private async writeBatch(): Promise<boolean> {
    const bills = this.queue.slice(0, MAXIMUM_BILLS_PER_RECORD);
    this.queue = this.queue.slice(bills.length);
    try {
      await this.log.append(BILL_PARTITION, [
        toBinary(RequestBillsSchema, create(RequestBillsSchema, {bills})),
      ]);
      return true;
    } catch (error) {
      // The append may have succeeded, so that a bill is written twice. Both have the
      // same request identifier, and readers use the first.
      this.queue = [...bills, ...this.queue];
      this.events.warn('bills not written', {
        queued: this.queue.length,
        dropped: this.droppedBills,
        reason: String(error),
      });
      return false;
    }
  }
}
