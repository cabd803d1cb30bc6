import {create} from '@bufbuild/protobuf';
import {SeenIdentifierSchema, type SeenIdentifier} from '@wisteriadeal/schema';

/**
 * How long identifiers stay remembered, in offsets of their stream. An append is
 * repeated until its writer sees it folded, which takes far fewer records than
 * this even after an outage of an hour at 100 appends a second in all over 8
 * streams (45,000 records a stream). Counting offsets and not time keeps every
 * reader's memory the same.
 */
export const REMEMBERED_OFFSETS = 65_536;

/** Identifiers seen within the last REMEMBERED_OFFSETS offsets. */
export class RecentIdentifiers {
  private readonly offsets = new Map<string, number>();

  /** Restores what `toMessages` gave. */
  static from(messages: readonly SeenIdentifier[]): RecentIdentifiers {
    const identifiers = new RecentIdentifiers();
    for (const {identifier, offset} of messages) {
      identifiers.offsets.set(identifier, offset);
    }
    return identifiers;
  }

  /** Whether the identifier is remembered. */
  has(identifier: string): boolean {
    return this.offsets.has(identifier);
  }

  /** Remembers an identifier; the first offset stays. */
  add(identifier: string, offset: number): void {
    if (!this.offsets.has(identifier)) {
      this.offsets.set(identifier, offset);
    }
  }

  /** Forgets what is too old, and returns it. */
  prune(offset: number): readonly string[] {
    const forgotten: string[] = [];
    for (const [identifier, seen] of this.offsets) {
      if (seen >= offset - REMEMBERED_OFFSETS) {
        break;
      }
      this.offsets.delete(identifier);
      forgotten.push(identifier);
    }
    return forgotten;
  }

  /** Oldest first. */
  toMessages(): SeenIdentifier[] {
    return [...this.offsets].map(([identifier, offset]) =>
      create(SeenIdentifierSchema, {identifier, offset}),
    );
  }
}
