import {
  Fate,
  StepError,
  type Clock,
  type LogClient,
} from '@wisteriadeal/platform';

import type {StreamReader} from './stream-reader.js';

/** How long an operator's append may take in all. */
export interface AppendPatience {
  /** After this the fate is reported as it is known. */
  readonly limitMilliseconds: number;
  /** Pause after an answer of the log that failed. */
  readonly retryMilliseconds: number;
}

/** Waits out a short outage of the platform; a longer one is reported. */
export const DEFAULT_PATIENCE: AppendPatience = {
  limitMilliseconds: 30_000,
  retryMilliseconds: 500,
};

/** One append that is repeated until its record was read back. */
export interface ConfirmedAppend<Fold extends {readonly nextOffset: number}> {
  readonly log: LogClient;
  readonly clock: Clock;
  readonly reader: StreamReader<Fold>;
  readonly payload: Uint8Array;
  readonly patience: AppendPatience;
  /** Whether the fold has decided about the record. */
  readonly isDecided: (fold: Fold) => boolean;
}

/**
 * Appends a record and reads on until the fold has decided about it.
 *
 * The answer of an append can be lost after the record was stored. Taken for a
 * failure, an operator would repeat a top-up under a new identifier and credit it
 * twice; taken for success, a publication would be reported that nobody has. So
 * the answer decides nothing: the stream is read to its end, and only where the
 * record is still absent is the same record appended again. Both copies may
 * come to stand; the fold ignores the second, since the identifier is the same.
 *
 * @throws StepError with fate Unknown where the limit passed and an append may
 *     stand; NotDone where certainly none does.
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
