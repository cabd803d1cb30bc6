import {
  Fate,
  StepError,
  type Clock,
  type LogClient,
} from '@wisteriadeal/platform';

import type {StreamReader} from './stream-reader.js';

/** Retry limits of an operator's append. */
export interface AppendPatience {
  /**
   * Time after which no further attempt starts and the append fails with the
   * fate known by then.
   */
  readonly limitMilliseconds: number;
  /** Delay before the next attempt. */
  readonly retryMilliseconds: number;
}

/**
 * Retries through a short outage of the platform; one that outlasts the limit
 * is reported.
 */
export const DEFAULT_PATIENCE: AppendPatience = {
  limitMilliseconds: 30_000,
  retryMilliseconds: 500,
};

/** An append that is retried until its record has been read back. */
export interface ConfirmedAppend<Fold extends {readonly nextOffset: number}> {
  readonly log: LogClient;
  readonly clock: Clock;
  readonly reader: StreamReader<Fold>;
  readonly payload: Uint8Array;
  readonly patience: AppendPatience;
  /** Whether the fold has applied or rejected the record. */
  readonly isDecided: (fold: Fold) => boolean;
}

/**
 * Appends a record and reads the stream until the fold has decided on it.
 *
 * The response to an append can be lost after the record was stored. If that
 * counted as a failure, an operator would repeat a top-up under a new
 * identifier and credit it twice. If it counted as a success, a publication
 * could be reported although it was never stored. The result therefore never
 * depends on the response: the stream is read to its end, and the same record
 * is appended again only if it is still absent. Both copies may be stored; the
 * fold ignores the second one because it has the same identifier.
 *
 * @throws StepError when the time limit has passed, with fate Unknown if a
 *     record may have been stored and NotDone if certainly none was.
 */
export async function appendUntilDecided<
  Fold extends {readonly nextOffset: number},
>(append: ConfirmedAppend<Fold>): Promise<void> {
  const {clock, patience, reader} = append;
  const deadline = clock.monotonicMilliseconds() + patience.limitMilliseconds;
  let fate = Fate.NotDone;
  let reason: string;
  do {
    try {
      if (await isDecidedAtEnd(append)) {
        return;
      }
      await append.log.append(reader.stream, append.payload);
      fate = Fate.Unknown;
      if (await isDecidedAtEnd(append)) {
        return;
      }
      reason = 'the record was stored but could not be read back';
    } catch (error) {
      if (!(error instanceof StepError)) {
        throw error;
      }
      fate = error.fate === Fate.Unknown ? Fate.Unknown : fate;
      reason = error.reason;
    }
    await clock.sleep(patience.retryMilliseconds);
  } while (clock.monotonicMilliseconds() < deadline);
  throw new StepError('append and read back', reader.stream, fate, reason);
}

async function isDecidedAtEnd<Fold extends {readonly nextOffset: number}>(
  append: ConfirmedAppend<Fold>,
): Promise<boolean> {
  await append.reader.readToEnd();
  return append.isDecided(append.reader.fold);
}
