import {MemoryPolicy, type MemoryHolder} from './memory-policy.js';

/**
 * Largest number of bytes of an exchange that is never ended because of others. What
 * one read of a socket brings is at most this long.
 */
export const SMALL_HOLDER_BYTES = 64 * 1024;
/**
 * Part of the room to which the largest source is ended. Without room in reserve, each
 * further byte would end one more exchange.
 */
const RETAINED_SHARE = 0.5;
/**
 * Part of the capacity that is left to exchanges that can be ended, whatever the others
 * hold: ending them would make no room.
 */
const ENDABLE_SHARE = 0.5;

/**
 * Ends exchanges of the source that holds most in total, its largest first, until half
 * of their room is free. Responds to an endpoint that sends without end on many
 * connections at once: as they count as one source, others lose nothing. A further
 * source follows only if ending the first one was not enough.
 *
 * @example
 * ```ts
 * const policy = new EndLargestSource();
 * for (const holder of policy.holdersToEnd(holders, capacityBytes)) {
 *   holder.end();
 * }
 * ```
 */
export class EndLargestSource extends MemoryPolicy {
  override holdersToEnd<Holder extends MemoryHolder>(
    holders: Iterable<Holder>,
    capacityBytes: number,
  ): readonly Holder[] {
    const all = [...holders];
    const endable = all.filter(mayBeEnded);
    const keptBytes = sumOf(all) - sumOf(endable);
    const room = Math.max(
      capacityBytes - keptBytes,
      ENDABLE_SHARE * capacityBytes,
    );
    let total = sumOf(endable);
    const ended: Holder[] = [];
    for (const source of sourcesOf(endable)) {
      if (total <= room) {
        break;
      }
      for (const holder of source.largestFirst()) {
        if (total <= RETAINED_SHARE * room) {
          break;
        }
        total -= holder.bytes;
        ended.push(holder);
      }
    }
    return ended;
  }
}

/** What comes from one endpoint or caller. */
class Source<Holder extends MemoryHolder> {
  bytes = 0;
  private readonly holders: Holder[] = [];

  add(holder: Holder): void {
    this.bytes += holder.bytes;
    this.holders.push(holder);
  }

  /** Its holders, the largest first. */
  largestFirst(): readonly Holder[] {
    return [...this.holders].sort((one, other) => other.bytes - one.bytes);
  }
}

function mayBeEnded({bytes, isEndable}: MemoryHolder): boolean {
  return isEndable && bytes > SMALL_HOLDER_BYTES;
}

function sumOf(holders: readonly MemoryHolder[]): number {
  return holders.reduce((sum, {bytes}) => sum + bytes, 0);
}

/** The sources of these holders, the largest first. */
function sourcesOf<Holder extends MemoryHolder>(
  holders: readonly Holder[],
): readonly Source<Holder>[] {
  const sources = new Map<string, Source<Holder>>();
  for (const holder of holders) {
    const source = sources.get(holder.source) ?? new Source<Holder>();
    sources.set(holder.source, source);
    source.add(holder);
  }
  return [...sources.values()].sort((one, other) => other.bytes - one.bytes);
}
