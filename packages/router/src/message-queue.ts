/**
 * Messages to one peer, in order, as the input of a stream. Closing it ends the
 * stream after what was pushed.
 */
export class MessageQueue<Message> implements AsyncIterable<Message> {
  private readonly waiting: Message[] = [];
  private closed = false;
  private wake: (() => void) | undefined;

  /** Adds a message; after `close` it is dropped. */
  push(message: Message): void {
    if (!this.closed) {
      this.waiting.push(message);
      this.wake?.();
    }
  }

  /** Ends the stream after what was pushed. */
  close(): void {
    this.closed = true;
    this.wake?.();
  }

  async *[Symbol.asyncIterator](): AsyncGenerator<Message, void> {
    for (;;) {
      const message = this.waiting.shift();
      if (message !== undefined) {
        yield message;
        continue;
      }
      if (this.closed) {
        return;
      }
      await new Promise<void>(resolve => {
        this.wake = resolve;
      });
    }
  }
}
