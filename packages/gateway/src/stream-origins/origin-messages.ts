import {create} from '@bufbuild/protobuf';
import type {
  OriginKnowledge,
  OriginRecord,
  StreamOrigin,
} from '@wisteriadeal/decisions';
import {
  PastOriginsSchema,
  StreamOriginAnswerSchema,
  StreamOriginRecordSchema,
  type PastOrigins as PastOriginsMessage,
  type SharedStreamOrigin,
  type StreamOriginAnswer,
  type StreamOriginRecord,
} from '@wisteriadeal/schema';

import type {PastOrigins, WatchedOrigins} from './origin-watch.js';
import type {UnconfirmedRun} from './unconfirmed-runs.js';

/**
 * Encodes a record, with the time that is left in place of its end.
 *
 * @param run The run that began the stream, while it is not confirmed.
 */
export function encodeRecord(
  {stream, origin, keptUntil}: OriginRecord,
  now: number,
  run?: UnconfirmedRun,
): StreamOriginRecord {
  return create(StreamOriginRecordSchema, {
    stream,
    keepMilliseconds: keptUntil - now,
    ...(origin === undefined ? {} : {origin: {...origin}}),
    ...(run === undefined
      ? {}
      : {
          run: {
            endpoint: run.start.id,
            bornAt: run.start.bornAt,
            openMilliseconds: now - run.openSince,
          },
        }),
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

/**
 * Decodes the run of another host's record; undefined if it needs no confirmation. It
 * counts as later by the time that the message took.
 */
export function decodeRun(
  {stream, origin, keepMilliseconds, run}: StreamOriginRecord,
  now: number,
): UnconfirmedRun | undefined {
  return run === undefined || origin === undefined
    ? undefined
    : {
        stream,
        start: {
          ...decodeOrigin(origin),
          id: run.endpoint,
          bornAt: run.bornAt,
        },
        openSince: now - run.openMilliseconds,
        keptUntil: now + keepMilliseconds,
        run: undefined,
      };
}

/** How far a host has read. */
export interface ReadPositions {
  /** Every change of the list of endpoints before this offset was read. */
  readonly listPosition: number;
  /** The configuration in force; undefined without one. */
  readonly configurationVersion: number | undefined;
}

/** Encodes what this host knows of a stream. */
export function encodeAnswer(
  record: StreamOriginRecord | undefined,
  {possible, hasWatched, isCurrent}: WatchedOrigins,
  {listPosition, configurationVersion}: ReadPositions,
): StreamOriginAnswer {
  return create(StreamOriginAnswerSchema, {
    possible: possible.map(origin => ({...origin})),
    hasWatched,
    isCurrent,
    listPosition,
    ...(configurationVersion === undefined ? {} : {configurationVersion}),
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

/** Encodes what this host saw of endpoints and routes. */
export function encodePast({builds, routes}: PastOrigins): PastOriginsMessage {
  return create(PastOriginsSchema, {
    listPosition: builds.position,
    completeMilliseconds: builds.completeMilliseconds,
    builds: builds.builds.map(({origin, listedMilliseconds}) => ({
      origin: {...origin},
      listedMilliseconds,
    })),
    ...(routes === undefined
      ? {}
      : {
          configurationVersion: routes.version,
          unchangedMilliseconds: routes.unchangedMilliseconds,
        }),
  });
}

/** Decodes what another host saw of endpoints and routes. */
export function decodePast(message: PastOriginsMessage): PastOrigins {
  const {configurationVersion: version, unchangedMilliseconds} = message;
  return {
    builds: {
      position: message.listPosition,
      completeMilliseconds: message.completeMilliseconds,
      builds: message.builds.flatMap(({origin, listedMilliseconds}) =>
        origin === undefined
          ? []
          : [{origin: decodeOrigin(origin), listedMilliseconds}],
      ),
    },
    routes:
      version === undefined ? undefined : {version, unchangedMilliseconds},
  };
}

function decodeOrigin({service, build}: SharedStreamOrigin): StreamOrigin {
  return {service, build};
}
