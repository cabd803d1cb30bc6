import {create} from '@bufbuild/protobuf';
import type {
  OriginKnowledge,
  OriginRecord,
  StreamOrigin,
} from '@wisteriadeal/decisions';
import {
  StreamOriginAnswerSchema,
  StreamOriginRecordSchema,
  type SharedStreamOrigin,
  type StreamOriginAnswer,
  type StreamOriginRecord,
} from '@wisteriadeal/schema';

import type {WatchedOrigins} from './origin-watch.js';

/** Encodes a record, with the time that is left in place of its end. */
export function encodeRecord(
  {stream, origin, keptUntil}: OriginRecord,
  now: number,
): StreamOriginRecord {
  return create(StreamOriginRecordSchema, {
    stream,
    keepMilliseconds: keptUntil - now,
    ...(origin === undefined ? {} : {origin: {...origin}}),
  });
}

/** Decodes another host's record. */
export function decodeRecord(
  {stream, origin, keepMilliseconds}: StreamOriginRecord,
  now: number,
): OriginRecord {
  return {
    stream,
    origin: origin && decodeOrigin(origin),
    keptUntil: now + keepMilliseconds,
  };
}

/** Encodes what this host knows of a stream. */
export function encodeAnswer(
  record: StreamOriginRecord | undefined,
  {possible, hasWatched, isCurrent}: WatchedOrigins,
): StreamOriginAnswer {
  return create(StreamOriginAnswerSchema, {
    possible: possible.map(origin => ({...origin})),
    hasWatched,
    isCurrent,
    ...(record === undefined ? {} : {record}),
  });
}

/** Decodes what another host knows of a stream. */
export function decodeAnswer({
  record,
  possible,
  hasWatched,
  isCurrent,
}: StreamOriginAnswer): OriginKnowledge {
  const origin = record?.origin;
  return {
    isRecorded: record !== undefined,
    origin: origin && decodeOrigin(origin),
    possible: possible.map(decodeOrigin),
    hasWatched,
    isCurrent,
  };
}

function decodeOrigin({service, build}: SharedStreamOrigin): StreamOrigin {
  return {service, build};
}
