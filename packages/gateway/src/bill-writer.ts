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
const FLUSH_MILLISECONDS = 1_500;
/** Bills kept while the store is away; 20,000 are about 3 MB. */
const MOST_WAITING = 20_000;
/** Bills in one record: about 100 B each, well below a record's limit. */
const BILLS_PER_RECORD = 1_000;

/**
 * Writes each request's bill for people to read. What may be spent never rests on
 * it: the account has been charged before.
 */
export class BillWriter {
  private waiting: RequestBill[] = [];
  private dropped = 0;
  /** Resolves when nothing is being written; one append at a time. */
  private writing: Promise<void> = Promise.resolve();
  private readonly stop = new AbortController();

  constructor(
    private readonly host: string,
    private readonly log: PartitionedLog,
    private readonly clock: Clock,
    private readonly events: EventLog,
  ) {}

  /** Takes a bill; it is written within about two seconds. */
  add(bill: NewBill): void {
    if (this.waiting.length >= MOST_WAITING) {
      this.dropped++;
      return;
    }
    this.waiting.push(create(RequestBillSchema, {...bill, host: this.host}));
  }

  /** Writes until it is closed. */
  async run(): Promise<void> {
    while (!this.stop.signal.aborted) {
      await this.clock.sleep(FLUSH_MILLISECONDS, this.stop.signal);
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
    this.waiting = [];
    this.stop.abort();
  }

  /** Resolves when all that waits is written, or the store gives no answer. */
  flush(): Promise<void> {
    this.writing = this.writing.then(() => this.writeAll());
    return this.writing;
  }

  private async writeAll(): Promise<void> {
    let isAnswered = true;
    while (isAnswered && this.waiting.length > 0) {
      isAnswered = await this.writeSome();
    }
  }

  /** @returns Whether the store answered. */
  private async writeSome(): Promise<boolean> {
    const bills = this.waiting.slice(0, BILLS_PER_RECORD);
    this.waiting = this.waiting.slice(bills.length);
    try {
      await this.log.append(BILL_PARTITION, [
        toBinary(RequestBillsSchema, create(RequestBillsSchema, {bills})),
      ]);
      return true;
    } catch (error) {
      // A bill that stands twice bears the same request: readers take the first.
      this.waiting = [...bills, ...this.waiting];
      this.events.warn('bills not written', {
        waiting: this.waiting.length,
        dropped: this.dropped,
        reason: String(error),
      });
      return false;
    }
  }
}
