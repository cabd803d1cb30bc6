/**
 * An unbounded queue of messages for the sending side of a stream. Iterating yields
 * the pushed messages in order until the queue is closed.
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

  /** Adds a message; messages pushed after `close` are dropped. */
  push(message: Message): void {
    if (!this.closed) {
      this.items.push(message);
      this.wake?.();
    }
  }

  /** Number of queued messages. */
  get length(): number {
    return this.items.length;
  }

  /** Ends the iteration once the queued messages have been yielded. */
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
