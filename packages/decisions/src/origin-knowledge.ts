import {isSameOrigin, type StreamOrigin} from './stream-origin.js';

/** What one host knows of the origin of a stream. */
export interface OriginKnowledge {
  /** Whether the host has a record of the stream. */
  readonly isRecorded: boolean;
  /** The recorded origin; undefined without one, or if it can't be known. */
  readonly origin: StreamOrigin | undefined;
  /** Everything that may have begun the stream, as far as the host saw. */
  readonly possible: readonly StreamOrigin[];
  /**
   * Whether the host has seen endpoints and routes for as long as a stream may last, and
   * the one that decides has seen what came after.
   */
  readonly hasWatched: boolean;
  /** Whether the host's list of endpoints is current. */
  readonly isCurrent: boolean;
}

/** What a host found out about a stream that its caller takes up. */
export interface OriginEvidence {
  /** What this host knows, once the others have answered. */
  readonly own: OriginKnowledge;
  /** What the other hosts answered. */
  readonly answers: readonly OriginKnowledge[];
  /**
   * Whether this host has read every change of endpoints and routes that was written
   * before the caller came.
   */
  readonly isUpToDate: boolean;
}

/**
 * Finds out what began a stream from what hosts know. Without a record, a stream has
 * a known origin only if one service and build alone can have begun it, and that has
 * been seen and not only not been seen otherwise.
 *
 * Endpoints and routes say nothing of streams that began after they were read. Neither do
 * other hosts that can't read them: another one that they don't reach, or don't know of,
 * may have begun the stream.
 *
 * @returns Undefined if the origin can't be known.
 * @example
 * ```ts
 * const origin = decideOrigin({own, answers, isUpToDate: true});
 * ```
 */
export function decideOrigin({
  own,
  answers,
  isUpToDate,
}: OriginEvidence): StreamOrigin | undefined {
  const all = [own, ...answers];
  const recorded = all.filter(({isRecorded}) => isRecorded);
  if (recorded.length > 0) {
    return onlyOne(recorded.map(({origin}) => origin));
  }
  const haveWatched =
    own.hasWatched ||
    answers.some(({hasWatched, isCurrent}) => hasWatched && isCurrent);
  return isUpToDate && haveWatched
    ? onlyOne(all.flatMap(({possible}) => possible))
    : undefined;
}

/** The origin that all entries name; undefined if they differ or one names none. */
function onlyOne(
  origins: readonly (StreamOrigin | undefined)[],
): StreamOrigin | undefined {
  const [first, ...others] = origins;
  const isOnly =
    first !== undefined &&
    others.every(other => other !== undefined && isSameOrigin(first, other));
  return isOnly ? first : undefined;
}
