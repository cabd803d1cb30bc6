/** One event of a stream, with the bytes that it came in. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** Undefined where the event has none. */
  readonly id: string | undefined;
}

const LINE_FEED = 0x0a;
const ID_LINE = /(?:^|\n)id: ?([^\r\n]*)/;

/**
 * Cuts a `text/event-stream` into whole events. What came of an event that is not
 * whole is kept back: an endpoint that crashes can stop in the middle of one, and
 * half an event must not be joined with another run's.
 */
export class EventStreamSplitter {
  private held: Buffer = Buffer.alloc(0);

  /** Bytes of an event that is not whole. */
  get rest(): Buffer {
    return this.held;
  }

  /** @returns The events that are whole now, in order. */
  push(chunk: Buffer): StreamEvent[] {
    let data =
      this.held.length === 0 ? chunk : Buffer.concat([this.held, chunk]);
    const events: StreamEvent[] = [];
    for (;;) {
      const end = eventEnd(data);
      if (end === undefined) {
        this.held = data;
        return events;
      }
      const bytes = data.subarray(0, end);
      events.push({bytes, id: ID_LINE.exec(bytes.toString('latin1'))?.[1]});
      data = data.subarray(end);
    }
  }
}

/** Index behind the empty line that ends the first event. */
function eventEnd(data: Buffer): number | undefined {
  let from = 0;
  for (;;) {
    const feed = data.indexOf(LINE_FEED, from);
    if (feed === -1) {
      return undefined;
    }
    if (data[feed + 1] === LINE_FEED) {
      return feed + 2;
    }
    if (data[feed + 1] === 0x0d && data[feed + 2] === LINE_FEED) {
      return feed + 3;
    }
    from = feed + 1;
  }
}
