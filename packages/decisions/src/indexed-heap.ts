/**
 * A binary heap that can move and remove any of its items in logarithmic time.
 * Items are compared by identity. The lowest priority comes first, and equal
 * priorities keep the order in which they were set.
 *
 * @example
 * ```ts
 * const heap = new IndexedHeap<string>();
 * heap.set('b', 2);
 * heap.set('a', 1);
 * heap.peek(); // 'a'
 * ```
 */
export class IndexedHeap<Item> {
  private readonly entries: {
    readonly item: Item;
    readonly priority: number;
    readonly order: number;
  }[] = [];
  private readonly positions = new Map<Item, number>();
  private nextOrder = 0;

  get size(): number {
    return this.entries.length;
  }

  has(item: Item): boolean {
    return this.positions.has(item);
  }

  /** Returns the first item without removing it. */
  peek(): Item | undefined {
    return this.entries[0]?.item;
  }

  /** Returns the lowest priority. */
  peekPriority(): number | undefined {
    return this.entries[0]?.priority;
  }

  /** Adds an item, or changes its priority. */
  set(item: Item, priority: number): void {
    this.remove(item);
    const position = this.entries.length;
    this.entries.push({item, priority, order: this.nextOrder++});
    this.positions.set(item, position);
    this.siftUp(position);
  }

  /** Removes and returns the first item. */
  pop(): Item | undefined {
    const first = this.peek();
    if (first !== undefined) {
      this.remove(first);
    }
    return first;
  }

  /**
   * Removes an item.
   *
   * @returns False if the heap does not contain it.
   */
  remove(item: Item): boolean {
    const position = this.positions.get(item);
    if (position === undefined) {
      return false;
    }
    const last = this.entries.length - 1;
    this.swap(position, last);
    this.entries.pop();
    this.positions.delete(item);
    if (position < last) {
      this.siftUp(position);
      this.siftDown(position);
    }
    return true;
  }

  private siftUp(start: number): void {
    let position = start;
    while (position > 0) {
      const parent = (position - 1) >> 1;
      if (!this.isBefore(position, parent)) {
        return;
      }
      this.swap(position, parent);
      position = parent;
    }
  }

  private siftDown(start: number): void {
    let position = start;
    for (;;) {
      const left = 2 * position + 1;
      let smallest = position;
      if (left < this.entries.length && this.isBefore(left, smallest)) {
        smallest = left;
      }
      if (left + 1 < this.entries.length && this.isBefore(left + 1, smallest)) {
        smallest = left + 1;
      }
      if (smallest === position) {
        return;
      }
      this.swap(position, smallest);
      position = smallest;
    }
  }

  private isBefore(left: number, right: number): boolean {
    const first = this.entryAt(left);
    const second = this.entryAt(right);
    return first.priority === second.priority
      ? first.order < second.order
      : first.priority < second.priority;
  }

  private swap(left: number, right: number): void {
    const first = this.entryAt(left);
    const second = this.entryAt(right);
    this.entries[left] = second;
    this.entries[right] = first;
    this.positions.set(second.item, left);
    this.positions.set(first.item, right);
  }

  private entryAt(position: number) {
    const entry = this.entries[position];
    if (entry === undefined) {
      throw new RangeError(`no heap entry at ${position}`);
    }
    return entry;
  }
}
