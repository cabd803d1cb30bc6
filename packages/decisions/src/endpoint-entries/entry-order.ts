/** An entry's place in the order in which its endpoint wrote them. */
export interface EntryPlace {
  /** Start by the endpoint's own clock, milliseconds since 1970; 0 if not stated. */
  readonly bornAt: number;
  /** Rises with each entry of a start; undefined if not stated. */
  readonly sequence: number | undefined;
  /** Whether the endpoint is about to leave. */
  readonly isLeaving: boolean;
}

/** How an endpoint's entry relates to those that were read before. */
export enum EntryVerdict {
  Current = 'current',
  /** A later entry of the same start was read before. */
  Outdated = 'outdated',
  /** An entry of a later start was read before. */
  OlderStart = 'older start',
  /** The start that wrote it had said that it leaves, and was removed. */
  HasLeft = 'has left',
}

/**
 * What is read after an endpoint was silent for this time is not late, milliseconds: a
 * start whose clock is behind may have followed, or another writer have written the entry
 * before. The store does a write at most about 6 s after it was sent.
 */
const SILENT_START_MILLISECONDS = 10_000;

/**
 * Tells which entries of one endpoint identifier are outdated. The store may do a write
 * seconds after later ones, so that the newest record need not be what the endpoint wrote
 * last. Times are of one monotonic clock, milliseconds.
 *
 * @example
 * ```ts
 * order.read({bornAt: 1, sequence: 14, isLeaving: true}, 0); // EntryVerdict.Current
 * order.read({bornAt: 1, sequence: 10, isLeaving: false}, 9); // EntryVerdict.Outdated
 * ```
 */
export class EntryOrder {
  private latest: EntryPlace | undefined;
  private readAt = -Infinity;
  private removedAt: number | undefined;

  /** When the entry was removed; undefined if it is listed. */
  get removedSince(): number | undefined {
    return this.removedAt;
  }

  /** Judges an entry, and remembers it if it is current. */
  read(entry: EntryPlace, now: number): EntryVerdict {
    const verdict = this.verdictOn(entry, now);
    if (verdict === EntryVerdict.Current) {
      const hasLeft =
        entry.bornAt === this.latest?.bornAt && this.latest.isLeaving;
      this.latest = hasLeft ? {...entry, isLeaving: true} : entry;
      this.readAt = now;
      this.removedAt = undefined;
    }
    return verdict;
  }

  /** Records that the entry was removed. */
  removed(now: number): void {
    this.removedAt = now;
  }

  private verdictOn(entry: EntryPlace, now: number): EntryVerdict {
    const {latest} = this;
    if (latest === undefined || latest.bornAt === 0 || entry.bornAt === 0) {
      return EntryVerdict.Current;
    }
    if (entry.bornAt !== latest.bornAt) {
      const isSilent = now - this.readAt >= SILENT_START_MILLISECONDS;
      return entry.bornAt > latest.bornAt || isSilent
        ? EntryVerdict.Current
        : EntryVerdict.OlderStart;
    }
    const isRemoved = this.removedAt !== undefined;
    if (isRemoved && latest.isLeaving) {
      return EntryVerdict.HasLeft;
    }
    const {sequence = Infinity} = entry;
    const before = latest.sequence ?? -Infinity;
    const isOutdated = isRemoved ? sequence <= before : sequence < before;
    const changedAt = Math.max(this.readAt, this.removedAt ?? -Infinity);
    const isSilent = now - changedAt >= SILENT_START_MILLISECONDS;
    return isOutdated && !isSilent
      ? EntryVerdict.Outdated
      : EntryVerdict.Current;
  }
}
