import {create} from '@bufbuild/protobuf';
import {SeenIdentifierSchema, type SeenIdentifier} from '@wisteriadeal/schema';

/**
 * Retention window of identifiers, in offsets of their stream. A writer repeats
 * an append until it has folded it, which takes far fewer records than this,
 * even after an outage of one hour at 100 appends per second over 8 streams
 * (45,000 records per stream). The window is counted in offsets instead of
 * time, so that all readers retain the same identifiers.
 */
export const IDENTIFIER_RETENTION_OFFSETS = 65_536;

/**
 * Identifiers folded within the last `IDENTIFIER_RETENTION_OFFSETS` offsets,
 * each with its first offset.
 */
export class RecentIdentifiers {
  private readonly offsets = new Map<string, number>();

  /** Restores the identifiers from the result of `toMessages`. */
  static from(messages: readonly SeenIdentifier[]): RecentIdentifiers {
    const identifiers = new RecentIdentifiers();
    for (const {identifier, offset} of messages) {
      identifiers.offsets.set(identifier, offset);
    }
    return identifiers;
  }

  /** Whether the identifier is retained. */
  has(identifier: string): boolean {
    return this.offsets.has(identifier);
  }

  /**
   * Adds an identifier. An identifier that is already present keeps its first
   * offset.
   */
  add(identifier: string, offset: number): void {
    if (!this.offsets.has(identifier)) {
      this.offsets.set(identifier, offset);
    }
  }

  /** Removes and returns the identifiers older than the retention window. */
  prune(offset: number): readonly string[] {
    const removed: string[] = [];
    for (const [identifier, firstOffset] of this.offsets) {
      if (firstOffset >= offset - IDENTIFIER_RETENTION_OFFSETS) {
        break;
      }
      this.offsets.delete(identifier);
      removed.push(identifier);
    }
    return removed;
  }

  /** Returns all identifiers, oldest first. */
  toMessages(): SeenIdentifier[] {
    return [...this.offsets].map(([identifier, offset]) =>
      create(SeenIdentifierSchema, {identifier, offset}),
    );
  }
}
