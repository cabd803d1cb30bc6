import {EntryOrder, type EntryPlace, type EntryVerdict} from './entry-order.js';

/**
 * How long the order of a removed endpoint's entries is remembered, milliseconds; the
 * store does a write within seconds.
 */
const REMOVED_ORDER_MILLISECONDS = 60_000;

/**
 * The order of the entries of each endpoint. Times are of one monotonic clock,
 * milliseconds.
 *
 * @example
 * ```ts
 * orders.read('i-1', {bornAt: 1, sequence: 14, isLeaving: false}, 0); // EntryVerdict.Current
 * orders.removed('i-1', 5);
 * ```
 */
export class EntryOrders {
  private readonly orders = new Map<string, EntryOrder>();

  /** Judges an entry of an endpoint, and remembers it if it is current. */
  read(id: string, entry: EntryPlace, now: number): EntryVerdict {
    const order = this.orders.get(id) ?? new EntryOrder();
    this.orders.set(id, order);
    return order.read(entry, now);
  }

  /** Records that an endpoint's entry was removed, and forgets old removals. */
  removed(id: string, now: number): void {
    this.orders.get(id)?.removed(now);
    for (const [other, {removedSince = Infinity}] of this.orders) {
      if (now - removedSince > REMOVED_ORDER_MILLISECONDS) {
        this.orders.delete(other);
      }
    }
  }
}
