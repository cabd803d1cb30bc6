/** Items for the same host that follow each other so closely make one call. */
const BATCH_MILLISECONDS = 2;

/** Where an item is in its call. */
export interface BatchedItem<Result> {
  /** Its index among the items of the call. */
  readonly index: number;
  /** The result of the call. */
  readonly result: Promise<Result>;
}

interface Batch<Item, Result> {
  readonly items: Item[];
  readonly result: Promise<Result>;
}

/**
 * Makes calls to other hosts, each with several items.
 *
 * @example
 * ```ts
 * const batches = new CallBatches((address, records) => send(address, records));
 * await batches.add(address, record).result;
 * ```
 */
export class CallBatches<Item, Result> {
  private readonly batches = new Map<string, Batch<Item, Result>>();

  /** @param call Makes one call with all items of a batch. */
  constructor(
    private readonly call: (
      address: string,
      items: readonly Item[],
    ) => Promise<Result>,
  ) {}

  /** Adds an item to the next call to a host. */
  add(address: string, item: Item): BatchedItem<Result> {
    let batch = this.batches.get(address);
    if (batch === undefined) {
      const items: Item[] = [];
      batch = {items, result: this.callSoon(address, items)};
      this.batches.set(address, batch);
    }
    return {index: batch.items.push(item) - 1, result: batch.result};
  }

  private async callSoon(
    address: string,
    items: readonly Item[],
  ): Promise<Result> {
    await new Promise(resolve => setTimeout(resolve, BATCH_MILLISECONDS));
    this.batches.delete(address);
    return this.call(address, items);
  }
}
