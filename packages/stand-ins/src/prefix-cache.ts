import type {ChatMessage, RandomSource} from '@wisteriadeal/platform';
import {createHash} from 'node:crypto';

/** Announcements kept for readers that come late. */
const ANNOUNCEMENTS_KEPT = 256;
/** Characters of one cached block. */
const BLOCK_CHARACTERS = 256;
/** Blocks that are hashed and announced; later ones are never shared. */
const MAXIMUM_BLOCKS = 16;

/**
 * One hash for each whole block of a prompt's JSON; each covers the prompt from
 * its start. Routers hash prompts the same way to recognise announcements.
 */
export function promptPrefixes(
  messages: readonly ChatMessage[],
): readonly string[] {
  const text = JSON.stringify(messages);
  const blocks = Math.min(
    Math.floor(text.length / BLOCK_CHARACTERS),
    MAXIMUM_BLOCKS,
  );
  return Array.from({length: blocks}, (_, index) =>
    createHash('sha256')
      .update(text.slice(0, (index + 1) * BLOCK_CHARACTERS))
      .digest('hex'),
  );
}

/**
 * The prompt prefixes that an engine keeps, and its announcements of them, some
 * of which are lost.
 */
export class PrefixCache {
  /** From the least to the most lately used. */
  private readonly prefixes = new Set<string>();
  private readonly announced: string[] = [];
  private events = 0;

  constructor(
    private readonly capacity: number,
    private readonly lossShare: number,
    private readonly random: RandomSource,
  ) {}

  /** Counts the prompt's tokens that are not cached, and caches it. */
  takeUncachedTokens(messages: readonly ChatMessage[]): number {
    const hashes = promptPrefixes(messages);
    const hits = hashes.findLastIndex(hash => this.prefixes.has(hash)) + 1;
    for (const hash of hashes) {
      this.keep(hash);
    }
    const uncached = JSON.stringify(messages).slice(hits * BLOCK_CHARACTERS);
    return uncached.split(/\s+/).length;
  }

  /** Rises with each event, announced or not. */
  get sequence(): number {
    return this.events;
  }

  /** What was announced lately. */
  get announcements(): readonly string[] {
    return [...this.announced];
  }

  private keep(hash: string): void {
    const known = this.prefixes.delete(hash);
    this.prefixes.add(hash);
    if (known) {
      return;
    }
    const [oldest] = this.prefixes;
    if (this.prefixes.size > this.capacity && oldest !== undefined) {
      this.prefixes.delete(oldest);
    }
    this.events++;
    if (this.random.fraction() >= this.lossShare) {
      this.announced.push(hash);
      this.announced.splice(0, this.announced.length - ANNOUNCEMENTS_KEPT);
    }
  }
}
