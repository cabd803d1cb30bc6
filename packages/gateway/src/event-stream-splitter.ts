/** One event of a stream, with its raw bytes. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** Identifier of the event; undefined if it has none. */
  readonly id: string | undefined;
}

const LINE_FEED = 0x0a;
/** A line that is neither empty nor a comment. */
const FIELD_LINE = /^[^:\r\n]/m;
const ID_LINE = /(?:^|\n)id: ?([^\r\n]*)/;

/**
 * Splits a `text/event-stream` into complete events. An incomplete event is
 * held back: an endpoint that crashes can stop in the middle of one, and half
 * an event must not be joined with the events of another run.
 */
export class EventStreamSplitter {
  private incomplete: Buffer = Buffer.alloc(0);

  /** Bytes of an event that is not complete yet. */
  get incompleteEvent(): Buffer {
    return this.incomplete;
  }

  /** @returns The events that this chunk completes, in order. */
  push(chunk: Buffer): StreamEvent[] {
    let data =
      this.incomplete.length === 0
        ? chunk
        : Buffer.concat([this.incomplete, chunk]);
    const events: StreamEvent[] = [];
    for (;;) {
      const end = eventEnd(data);
      if (end === undefined) {
        this.incomplete = data;
        return events;
      }
      const bytes = data.subarray(0, end);
      events.push({bytes, id: ID_LINE.exec(bytes.toString('latin1'))?.[1]});
      data = data.subarray(end);
    }
  }
}

/** Whether an event has any field; comments that keep a connection open have none. */
export function hasField({bytes}: StreamEvent): boolean {
  return FIELD_LINE.test(bytes.toString('latin1'));
}

/**
 * Index after the empty line that ends the first event; undefined if that line
 * has not arrived.
 */
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
