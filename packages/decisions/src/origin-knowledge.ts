import {isSameOrigin, type StreamOrigin} from './stream-origin.js';

/** What one host knows of the origin of a stream. */
export interface OriginKnowledge {
  /** Whether the host has a record of the stream. */
  readonly isRecorded: boolean;
  /** The recorded origin; undefined without one, or if it can't be known. */
  readonly origin: StreamOrigin | undefined;
  /** Everything that may have begun the stream, as far as the host saw. */
  readonly possible: readonly StreamOrigin[];
  /** Whether the host has seen endpoints and routes for as long as a stream may last. */
  readonly hasWatched: boolean;
  /** Whether the host's list of endpoints is current. */
  readonly isCurrent: boolean;
}

/**
 * Answers without a record from which on a list that is not current is enough: a
 * host that began a stream at another build would have told some of them.
 */
const MINIMUM_STALE_ANSWERS = 3;

/**
 * Finds out what began a stream from what hosts know. Without a record, a stream has
 * a known origin only if one service and build alone can have begun it, and that has
 * been seen and not only not been seen otherwise.
 *
 * @param knowledge That of the host that decides and of all that answered it.
 * @returns Undefined if the origin can't be known.
 * @example
 * ```ts
 * const origin = decideOrigin([own, ...answers]);
 * ```
 */
export function decideOrigin(
  knowledge: readonly OriginKnowledge[],
): StreamOrigin | undefined {
  const recorded = knowledge.filter(({isRecorded}) => isRecorded);
  if (recorded.length > 0) {
    return onlyOne(recorded.map(({origin}) => origin));
  }
  const isEnough =
    knowledge.some(({hasWatched}) => hasWatched) &&
    (knowledge.some(({hasWatched, isCurrent}) => hasWatched && isCurrent) ||
      knowledge.length >= MINIMUM_STALE_ANSWERS);
  return isEnough
    ? onlyOne(knowledge.flatMap(({possible}) => possible))
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
