import type {ChatMessage, RandomSource} from '@wisteriadeal/platform';
import {createHash} from 'node:crypto';

/** Number of recent announcements kept for readers that poll late. */
const MAXIMUM_ANNOUNCEMENTS = 256;
/** Length of a cached block in characters. */
const BLOCK_CHARACTERS = 256;
/** Maximum number of blocks hashed and announced per prompt; later ones aren't cached. */
const MAXIMUM_BLOCKS = 16;

/**
 * Returns one hash per complete block of a prompt's JSON; each covers the prompt from
 * its start. Routers compute the same hashes to match them with announcements.
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
 * An engine's cache of prompt prefixes with least-recently-used eviction, and the
 * announcements of new prefixes, a share of which is lost.
 */
export class PrefixCache {
  /** Ordered from the least to the most recently used. */
  private readonly prefixes = new Set<string>();
  private readonly announced: string[] = [];
  private eventCount = 0;

  constructor(
    private readonly capacity: number,
    private readonly lossShare: number,
    private readonly random: RandomSource,
  ) {}

  /** Caches a prompt; returns the number of its tokens that were not cached before. */
  cachePrompt(messages: readonly ChatMessage[]): number {
    const hashes = promptPrefixes(messages);
    const hits = hashes.findLastIndex(hash => this.prefixes.has(hash)) + 1;
    for (const hash of hashes) {
      this.addPrefix(hash);
    }
    const uncached = JSON.stringify(messages).slice(hits * BLOCK_CHARACTERS);
    return uncached.split(/\s+/).length;
  }

  /** Number of cache events, including those whose announcement was lost. */
  get sequence(): number {
    return this.eventCount;
  }

  /** Hashes of the recently announced prefixes, oldest first. */
  get announcements(): readonly string[] {
    return [...this.announced];
  }

  private addPrefix(hash: string): void {
    const wasCached = this.prefixes.delete(hash);
    this.prefixes.add(hash);
    if (wasCached) {
      return;
    }
    const [oldest] = this.prefixes;
    if (this.prefixes.size > this.capacity && oldest !== undefined) {
      this.prefixes.delete(oldest);
    }
    this.eventCount++;
    if (this.random.fraction() >= this.lossShare) {
      this.announced.push(hash);
      this.announced.splice(0, this.announced.length - MAXIMUM_ANNOUNCEMENTS);
    }
  }
}
