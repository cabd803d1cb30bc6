import {create, toBinary} from '@bufbuild/protobuf';
import {
  RequestBillsSchema,
  RequestBillSchema,
  type RequestBill,
} from '@wisteriadeal/schema';
import type {Clock, PartitionedLog} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';

import {BILL_PARTITION} from './budget-topics.js';

/** One bill; the host is added where it is written. */
export type NewBill = Omit<RequestBill, '$typeName' | '$unknown' | 'host'>;

/** Bills wait so long, so that one call writes many: about 100 a second come. */
const FLUSH_INTERVAL_MILLISECONDS = 1_500;
/** Bills kept while the store is away; 20,000 are about 3 MB. */
const MAXIMUM_QUEUED_BILLS = 20_000;
/** Bills in one record: about 100 B each, well below a record's limit. */
const MAXIMUM_BILLS_PER_RECORD = 1_000;

/**
 * Writes each request's bill for people to read. What may be spent never rests on
 * it: the account has been charged before.
 */
export class BillWriter {
  private queue: RequestBill[] = [];
  private droppedBills = 0;
  /** Resolves when nothing is being written; one append at a time. */
  private pendingWrite: Promise<void> = Promise.resolve();
  private readonly stop = new AbortController();

  constructor(
    private readonly host: string,
    private readonly log: PartitionedLog,
    private readonly clock: Clock,
    private readonly events: EventLog,
  ) {}

  /** Takes a bill; it is written within about two seconds. */
  add(bill: NewBill): void {
    if (this.queue.length >= MAXIMUM_QUEUED_BILLS) {
      this.droppedBills++;
      return;
    }
    this.queue.push(create(RequestBillSchema, {...bill, host: this.host}));
  }

  /** Writes until it is closed. */
  async run(): Promise<void> {
    while (!this.stop.signal.aborted) {
      await this.clock.sleep(FLUSH_INTERVAL_MILLISECONDS, this.stop.signal);
      await this.flush();
    }
  }

  /** Writes what is left, if the store answers. */
  async close(): Promise<void> {
    this.stop.abort();
    await this.flush();
  }

  /** Ends at once; bills that were not written are lost. */
  abort(): void {
    this.queue = [];
    this.stop.abort();
  }

  /** Resolves when all that waits is written, or the store gives no answer. */
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
      // A bill that stands twice bears the same request: readers take the first.
      this.queue = [...bills, ...this.queue];
      this.events.warn('bills not written', {
        waiting: this.queue.length,
        dropped: this.droppedBills,
        reason: String(error),
      });
      return false;
    }
  }
}
