const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const COLON = 0x3a;
const SPACE = 0x20;
const LETTER_I = 0x69;
const LETTER_D = 0x64;
/** Initial size of the buffer of an incomplete event, bytes. */
const INITIAL_HELD_BYTES = 256;

/** How far the line end that may end an event has been read. */
enum LineEnd {
  None,
  /** A line feed. */
  Feed,
  /** A line feed and a carriage return. */
  FeedAndReturn,
}

/** One event of a stream: a part of the buffer that it arrived in. */
export class StreamEvent {
  /**
   * @param id Identifier of the event; undefined if it has none.
   * @param hasField Whether it has any field; comments that keep a connection open
   *     have none.
   */
  constructor(
    private readonly source: Buffer,
    private readonly start: number,
    private readonly end: number,
    readonly id: string | undefined,
    readonly hasField: boolean,
  ) {}

  /** Its raw bytes. */
  get bytes(): Buffer {
    return this.source.subarray(this.start, this.end);
  }

  /** Number of its bytes. */
  get length(): number {
    return this.end - this.start;
  }

  /**
   * The bytes of this event to those of a later one of the same buffer; undefined if
   * that is in another buffer.
   */
  bytesTo(last: StreamEvent): Buffer | undefined {
    return last.source === this.source
      ? this.source.subarray(this.start, last.end)
      : undefined;
  }
}

/**
 * The raw bytes of successive events.
 *
 * @param events Successive events of one call of `EventStreamSplitter.push`.
 */
export function joinEvents(events: readonly StreamEvent[]): Buffer {
  const [first, second] = events;
  const last = events.at(-1);
  if (first === undefined || last === undefined) {
    return Buffer.alloc(0);
  }
  // Only the first event may have begun before the chunk that holds the others.
  return (
    first.bytesTo(last) ??
    Buffer.concat([first.bytes, second?.bytesTo(last) ?? last.bytes])
  );
}

/**
 * Splits a `text/event-stream` into complete events. An incomplete event is
 * held back: an endpoint that crashes can stop in the middle of one, and half
 * an event must not be joined with the events of another run.
 *
 * Each byte is read once, however the stream is cut into chunks.
 *
 * @example
 * ```ts
 * const splitter = new EventStreamSplitter();
 * splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2')); // the event 1
 * splitter.incompleteBytes; // 5
 * ```
 */
export class EventStreamSplitter {
  /** Beginning of the incomplete event; grows by doubling. */
  private held: Buffer = Buffer.alloc(0);
  private heldBytes = 0;
  private lineEnd = LineEnd.None;
  private isLineStart = true;
  private hasField = false;

  /** Bytes of an event that is not complete yet. */
  get incompleteEvent(): Buffer {
    return this.held.subarray(0, this.heldBytes);
  }

  /** Number of bytes of an event that is not complete yet. */
  get incompleteBytes(): number {
    return this.heldBytes;
  }

  /** @returns The events that this chunk completes, in order. */
  push(chunk: Buffer): StreamEvent[] {
    const events: StreamEvent[] = [];
    let start = 0;
    for (let at = 0; at < chunk.length; at++) {
      if (this.endsEvent(chunk[at] ?? 0)) {
        events.push(this.complete(chunk, start, at + 1));
        start = at + 1;
      }
    }
    if (start < chunk.length) {
      this.hold(chunk, start, chunk.length);
    }
    return events;
  }

  /** Reads the next byte; returns whether the empty line after an event ends with it. */
  private endsEvent(byte: number): boolean {
    if (byte === LINE_FEED) {
      const isEnd = this.lineEnd !== LineEnd.None;
      this.lineEnd = LineEnd.Feed;
      this.isLineStart = true;
      return isEnd;
    }
    if (byte === CARRIAGE_RETURN) {
      this.lineEnd =
        this.lineEnd === LineEnd.Feed ? LineEnd.FeedAndReturn : LineEnd.None;
      this.isLineStart = true;
      return false;
    }
    if (this.isLineStart) {
      this.isLineStart = false;
      this.lineEnd = LineEnd.None;
      this.hasField ||= byte !== COLON;
    }
    return false;
  }

  private complete(chunk: Buffer, from: number, end: number): StreamEvent {
    const {hasField} = this;
    let source = chunk;
    let start = from;
    let sourceEnd = end;
    if (this.heldBytes > 0) {
      this.hold(chunk, from, end);
      source = this.held;
      start = 0;
      sourceEnd = this.heldBytes;
      this.held = Buffer.alloc(0);
      this.heldBytes = 0;
    }
    this.lineEnd = LineEnd.None;
    this.isLineStart = true;
    this.hasField = false;
    const id = hasField ? findId(source, start, sourceEnd) : undefined;
    return new StreamEvent(source, start, sourceEnd, id, hasField);
  }

  private hold(chunk: Buffer, start: number, end: number): void {
    const bytes = this.heldBytes + end - start;
    if (bytes > this.held.length) {
      const capacity = Math.max(
        INITIAL_HELD_BYTES,
        2 * this.held.length,
        bytes,
      );
      const larger = Buffer.allocUnsafeSlow(capacity);
      this.held.copy(larger, 0, 0, this.heldBytes);
      this.held = larger;
    }
    chunk.copy(this.held, this.heldBytes, start, end);
    this.heldBytes = bytes;
  }
}

/** The value of the first `id` line of an event; undefined if it has none. */
function findId(
  source: Buffer,
  start: number,
  end: number,
): string | undefined {
  let line = start;
  while (line < end) {
    const lineEnd = endOfLine(source, line, end);
    if (
      source[line] === LETTER_I &&
      source[line + 1] === LETTER_D &&
      source[line + 2] === COLON
    ) {
      const value = source[line + 3] === SPACE ? line + 4 : line + 3;
      return source.toString(
        'latin1',
        value,
        endOfValue(source, value, lineEnd),
      );
    }
    line = lineEnd + 1;
  }
  return undefined;
}

/** Index of the line feed that ends a line. */
function endOfLine(source: Buffer, from: number, end: number): number {
  let at = from;
  while (at < end && source[at] !== LINE_FEED) {
    at++;
  }
  return at;
}

function endOfValue(source: Buffer, from: number, lineEnd: number): number {
  let at = from;
  while (at < lineEnd && source[at] !== CARRIAGE_RETURN) {
    at++;
  }
  return at;
}
