/** Limit that an endpoint's input exceeded, as it appears in logs and metrics. */
export enum InputBreach {
  /** Too many bytes that belong to no body: 1xx responses, heads, chunk framing, trailers. */
  FramingBytes = 'framing-bytes',
  /** A head, chunk extension or trailers too long for the HTTP parser. */
  MessageBytes = 'message-bytes',
  /** Bytes arrived for too long without any of a body. */
  FramingTime = 'framing-time',
  /** An event of a stream is too long. */
  EventBytes = 'event-bytes',
  /** An event of a stream took too long to arrive. */
  EventTime = 'event-time',
  /** A body that is buffered until it is complete is too long. */
  BodyBytes = 'body-bytes',
  /** The body of an answer that is not read is too long. */
  DiscardedBytes = 'discarded-bytes',
  /** The body of an answer that is not read took too long to end. */
  DiscardedTime = 'discarded-time',
  /** All exchanges of the process together hold too many bytes. */
  ProcessBytes = 'process-bytes',
}

/** Codes of the errors of Node.js's HTTP parser when a part of a message is too long. */
const OVERFLOW_CODES: readonly unknown[] = [
  'HPE_HEADER_OVERFLOW',
  'HPE_CHUNK_EXTENSIONS_OVERFLOW',
];

/** Whether the HTTP parser ended a connection because a part of a message is too long. */
export function isMessageOverflow(error: Error): boolean {
  return 'code' in error && OVERFLOW_CODES.includes(error.code);
}
