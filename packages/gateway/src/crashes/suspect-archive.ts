import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import type {SuspectKnowledge} from '@wisteriadeal/decisions';
import {
  PartitionEndError,
  type Clock,
  type KeyedRecord,
  type KeyedValue,
  type Partition,
  type PartitionedLog,
} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';
import {StoredSuspectSchema, type SuspectNews} from '@wisteriadeal/schema';

import {digestOf} from '../digest.js';
import {decodeNews, encodeNews} from './suspect-news.js';

/** What outlasts all processes of suspected subjects, by digests of these. */
export const SUSPECT_PARTITION: Partition = {
  topic: 'keyed.wisteriadeal-suspects',
  partition: 0,
};

/** Entries that were not written for this long are no longer used. */
const RETENTION_MILLISECONDS = 600_000;
/** Subjects are longer than keys may be. */
const KEY_DIGEST_BYTES = 12;

/** What the store has of one subject. */
export interface StoredSuspect {
  readonly known: SuspectKnowledge;
  readonly offset: number;
}

/** What the store has of all subjects. */
export interface StoredSuspects {
  readonly bySubject: ReadonlyMap<string, StoredSuspect>;
  /** Keys of entries that no host uses any more. */
  readonly expiredKeys: readonly string[];
  /** Where the partition ended. */
  readonly end: number;
}

/** Reads and writes suspected subjects in a keyed topic of the store. */
export class SuspectArchive {
  constructor(
    private readonly log: PartitionedLog,
    private readonly clock: Clock,
    private readonly events: EventLog,
  ) {}

  /** @throws StepError if the store gave no usable answer. */
  async read(): Promise<StoredSuspects> {
    const {items, resumeOffset} = await this.log.newest(SUSPECT_PARTITION);
    const bySubject = new Map<string, StoredSuspect>();
    const expiredKeys: string[] = [];
    for (const item of items) {
      const entry = this.decode(item);
      if (entry === undefined) {
        expiredKeys.push(item.key);
      } else {
        const {subject, known} = entry;
        bySubject.set(subject, {known, offset: item.offset});
      }
    }
    return {bySubject, expiredKeys, end: resumeOffset};
  }

  /**
   * Writes entries, and deletes those that have expired.
   *
   * @param changes By subject; undefined deletes the entry.
   * @param stored What the changes are based on.
   * @returns False if another host has written meanwhile.
   * @throws StepError if the store gave no usable answer.
   */
  async write(
    changes: ReadonlyMap<string, SuspectKnowledge | undefined>,
    {expiredKeys, end}: StoredSuspects,
  ): Promise<boolean> {
    const entries: KeyedValue[] = [
      ...expiredKeys.map(key => ({key, value: undefined})),
      ...[...changes].map(([subject, known]) => ({
        key: keyOf(subject),
        value: known && this.encode(subject, known),
      })),
    ];
    try {
      await this.log.putAll(SUSPECT_PARTITION, entries, end);
      return true;
    } catch (error) {
      if (error instanceof PartitionEndError) {
        return false;
      }
      throw error;
    }
  }

  private encode(subject: string, known: SuspectKnowledge): Uint8Array {
    return toBinary(
      StoredSuspectSchema,
      create(StoredSuspectSchema, {
        subject,
        writtenAt: this.clock.wallMilliseconds(),
        known: encodeNews(known, this.clock.monotonicMilliseconds()),
      }),
    );
  }

  /** Undefined for an entry that has expired or is not one. */
  private decode({
    key,
    value,
  }: KeyedRecord):
    (Pick<StoredSuspect, 'known'> & {subject: string}) | undefined {
    try {
      const {subject, writtenAt, known} = fromBinary(
        StoredSuspectSchema,
        value ?? new Uint8Array(),
      );
      // The writer's clock may be ahead of this one.
      const age = Math.max(0, this.clock.wallMilliseconds() - writtenAt);
      const writtenHereAt = this.clock.monotonicMilliseconds() - age;
      return key === keyOf(subject) &&
        known !== undefined &&
        hasValidAges(known) &&
        age <= RETENTION_MILLISECONDS
        ? {subject, known: decodeNews(known, writtenHereAt)}
        : undefined;
    } catch (error) {
      this.events.warn('stored suspect ignored', {key, reason: String(error)});
      return undefined;
    }
  }
}

function keyOf(subject: string): string {
  return digestOf([subject], KEY_DIGEST_BYTES);
}

function hasValidAges({crashes, tries, successes}: SuspectNews): boolean {
  return [...crashes, ...tries, ...successes].every(({millisecondsAgo}) =>
    Number.isFinite(millisecondsAgo),
  );
}
