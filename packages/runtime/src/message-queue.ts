/**
 * The sending side of a stream: what is pushed comes out of the iteration, in
 * order, until the queue is closed.
 *
 * @example
 * ```ts
 * const queue = new MessageQueue<RouterMessage>();
 * const answers = client.routerSession(queue);
 * queue.push(message);
 * ```
 */
export class MessageQueue<Message> implements AsyncIterable<Message> {
  private readonly items: Message[] = [];
  private wake: (() => void) | undefined;
  private closed = false;

  /** Adds a message; after `close` it is dropped. */
  push(message: Message): void {
    if (!this.closed) {
      this.items.push(message);
      this.wake?.();
    }
  }

  /** How many messages wait. */
  get length(): number {
    return this.items.length;
  }

  /** Ends the iteration after what was pushed. */
  close(): void {
    this.closed = true;
    this.wake?.();
  }

  async *[Symbol.asyncIterator](): AsyncGenerator<Message, void> {
    for (;;) {
      let item = this.items.shift();
      while (item !== undefined) {
        yield item;
        item = this.items.shift();
      }
      if (this.closed) {
        return;
      }
      await new Promise<void>(resolve => {
        this.wake = resolve;
      });
      this.wake = undefined;
    }
  }
}
