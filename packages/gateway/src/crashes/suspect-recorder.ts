import type {CrashSuspects, SuspectKnowledge} from '@wisteriadeal/decisions';
import type {Clock} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';

import type {SuspectArchive, StoredSuspects} from './suspect-archive.js';

/** Dependencies of `SuspectRecorder`. */
export interface SuspectRecorderParts {
  readonly archive: SuspectArchive;
  /** What this host knows. */
  readonly suspects: CrashSuspects;
  /** Tries that are closer to each other are one, milliseconds. */
  readonly sameTryMilliseconds: number;
  readonly clock: Clock;
  readonly events: EventLog;
}

/** Many subjects of a crash are cleared within this time, and never written. */
const SAVE_DELAY_MILLISECONDS = 300;
/** Between the writes of a host, while many endpoints end or the store is away. */
const SAVE_INTERVAL_MILLISECONDS = 2_000;
/** A request waits no longer for the store, and is decided without it then. */
const STORE_WAIT_MILLISECONDS = 400;
/** Writes that are based on what is no longer the newest are repeated so often. */
const WRITE_ATTEMPTS = 3;
/** Subjects that wait for the store while it is away; the latest ones are kept. */
const MAXIMUM_UNSAVED = 1_000;

/** Keeps what this host knows of suspected subjects and what the store has in step. */
export class SuspectRecorder {
  private readonly unsaved = new Set<string>();
  /** Whether unsaved subjects may have to be deleted from the store. */
  private hasCleared = false;
  private saving: NodeJS.Timeout | undefined;
  private savedAt = -Infinity;
  private isFailing = false;
  private readonly stop = new AbortController();

  constructor(private readonly parts: SuspectRecorderParts) {}

  /**
   * Adds what the store has to what this host knows.
   *
   * @returns Undefined if the store gave no usable answer.
   */
  async read(): Promise<StoredSuspects | undefined> {
    const {archive, suspects, sameTryMilliseconds} = this.parts;
    try {
      const stored = await archive.read();
      for (const {known} of stored.bySubject.values()) {
        suspects.merge(known, sameTryMilliseconds);
      }
      this.isFailing = false;
      return stored;
    } catch (error) {
      this.failed(error);
      return undefined;
    }
  }

  /** The same for a request that waits. */
  readInTime(): Promise<StoredSuspects | undefined> {
    return this.inTime(this.read());
  }

  /**
   * Writes a try that this host has recorded.
   *
   * @param subjects The subjects that are tried.
   * @param stored What the store had when the try was decided on.
   * @returns False if another host wrote of these subjects since. True if the store
   *     gave no usable answer: hosts then decide without it.
   */
  async claimTry(
    subjects: readonly string[],
    stored: StoredSuspects,
  ): Promise<boolean> {
    const isClaimed = await this.inTime(this.writeTry(subjects, stored));
    return isClaimed ?? true;
  }

  /** Writes subjects of a crash that are still suspected a moment later. */
  saveSuspected(subjects: readonly string[]): void {
    this.saveLater(subjects);
  }

  /** Deletes subjects that are no longer suspected from the store. */
  saveCleared(subjects: readonly string[]): void {
    this.hasCleared = true;
    this.saveLater(subjects);
  }

  /** Ends all writing. */
  close(): void {
    this.stop.abort();
    clearTimeout(this.saving);
  }

  private saveLater(subjects: readonly string[]): void {
    for (const subject of subjects) {
      this.unsaved.add(subject);
    }
    for (const oldest of this.unsaved) {
      if (this.unsaved.size <= MAXIMUM_UNSAVED) {
        break;
      }
      this.unsaved.delete(oldest);
    }
    const now = this.parts.clock.monotonicMilliseconds();
    const milliseconds = Math.max(
      SAVE_DELAY_MILLISECONDS,
      this.savedAt + SAVE_INTERVAL_MILLISECONDS - now,
    );
    this.saving ??= setTimeout(() => {
      this.saving = undefined;
      void this.save();
    }, milliseconds);
  }

  private async save(): Promise<void> {
    const subjects = [...this.unsaved];
    const {hasCleared} = this;
    this.unsaved.clear();
    this.hasCleared = false;
    const {suspects} = this.parts;
    const mayDiffer =
      hasCleared || subjects.some(subject => suspects.isSuspected(subject));
    if (!mayDiffer) {
      return;
    }
    this.savedAt = this.parts.clock.monotonicMilliseconds();
    if ((await this.saveAll(subjects)) || this.isClosed) {
      return;
    }
    this.hasCleared ||= hasCleared;
    this.saveLater(subjects);
  }

  /** Returns whether the store now has what this host knows of the subjects. */
  private async saveAll(subjects: readonly string[]): Promise<boolean> {
    try {
      for (let attempt = 0; attempt < WRITE_ATTEMPTS; attempt++) {
        const stored = await this.read();
        if (stored === undefined || this.isClosed) {
          return false;
        }
        const changes = this.changesTo(stored, subjects);
        const isDone =
          changes.size === 0 ||
          (await this.parts.archive.write(changes, stored));
        if (isDone) {
          return true;
        }
      }
    } catch (error) {
      this.failed(error);
    }
    return false;
  }

  private changesTo(
    {bySubject}: StoredSuspects,
    subjects: readonly string[],
  ): ReadonlyMap<string, SuspectKnowledge | undefined> {
    const {suspects} = this.parts;
    const changes = new Map<string, SuspectKnowledge | undefined>();
    for (const subject of subjects) {
      const entry = bySubject.get(subject);
      if (suspects.isSuspected(subject)) {
        const known = suspects.conclusionsOn(subject);
        if (!includes(entry?.known, known)) {
          changes.set(subject, known);
        }
      } else if (entry !== undefined) {
        changes.set(subject, undefined);
      }
    }
    return changes;
  }

  private async writeTry(
    subjects: readonly string[],
    decidedOn: StoredSuspects,
  ): Promise<boolean> {
    const {archive, suspects} = this.parts;
    let stored = decidedOn;
    try {
      for (let attempt = 0; attempt < WRITE_ATTEMPTS; attempt++) {
        const changes = new Map(
          subjects.map(subject => [subject, suspects.conclusionsOn(subject)]),
        );
        if (await archive.write(changes, stored)) {
          return true;
        }
        const newer = await this.read();
        if (newer === undefined) {
          return true;
        }
        const isWritten = subjects.some(
          subject =>
            newer.bySubject.get(subject)?.offset !==
            stored.bySubject.get(subject)?.offset,
        );
        if (isWritten) {
          return false;
        }
        stored = newer;
      }
      return false;
    } catch (error) {
      this.failed(error);
      return true;
    }
  }

  private get isClosed(): boolean {
    return this.stop.signal.aborted;
  }

  private async inTime<Value>(
    value: Promise<Value>,
  ): Promise<Value | undefined> {
    const end = new AbortController();
    const signal = AbortSignal.any([end.signal, this.stop.signal]);
    const wait = this.parts.clock.sleep(STORE_WAIT_MILLISECONDS, signal);
    try {
      return await Promise.race([value, wait.then(() => undefined)]);
    } finally {
      end.abort();
    }
  }

  private failed(error: unknown): void {
    if (!this.isFailing) {
      this.parts.events.info('suspects not in step with the store', {
        reason: String(error),
      });
    }
    this.isFailing = true;
  }
}

/** Whether an entry tells at least as much of crashes and tries. */
function includes(
  stored: SuspectKnowledge | undefined,
  {crashes, tries}: SuspectKnowledge,
): boolean {
  const endpoints = new Set(stored?.crashes.map(({endpoint}) => endpoint));
  return (
    crashes.every(({endpoint}) => endpoints.has(endpoint)) &&
    tries.length <= (stored?.tries.length ?? 0)
  );
}
