import {EndLargestSource, type MemoryPolicy} from '@wisteriadeal/decisions';

import {HeldBytes} from './held-bytes.js';
import {HeldKind} from './held-kind.js';

/** Exchanges of one source that were ended to make room. */
export interface EndedHolders {
  /** What the largest of them held bytes for. */
  readonly kind: HeldKind;
  readonly source: string;
  /** Number of exchanges that were ended. */
  readonly ended: number;
  /** What they held, bytes. */
  readonly endedBytes: number;
  /** What all exchanges of the source held before, bytes. */
  readonly sourceBytes: number;
  /** What all exchanges held before, bytes. */
  readonly totalBytes: number;
  readonly capacityBytes: number;
}

/** Options of `InputAccount`; by default nothing is ended. */
export interface InputAccountOptions {
  /** What all exchanges together may hold, bytes. */
  readonly capacityBytes?: number;
  readonly policy?: MemoryPolicy;
  /** Called for each source of which exchanges were ended. */
  readonly onEnded?: (ended: EndedHolders) => void;
}

/**
 * Growth after which exchanges are asked for again, bytes, if none could be ended the
 * last time.
 */
const CHECK_STEP_BYTES = 256 * 1024;

/**
 * The bytes from outside that this process holds for requests: the account of all
 * connections together. Exchanges are ended when they hold more than there is room for.
 *
 * @example
 * ```ts
 * const account = new InputAccount({capacityBytes: 16_000_000});
 * const held = account.hold(HeldKind.Answer, 'endpoint engine-1', () => {
 *   socket.destroy();
 * });
 * held.add(chunk.length);
 * held.close();
 * ```
 */
export class InputAccount {
  private readonly holders = new Set<HeldBytes>();
  private readonly bytesByKind = new Map<HeldKind, number>();
  private readonly capacityBytes: number;
  private readonly policy: MemoryPolicy;
  private readonly onEnded: (ended: EndedHolders) => void;
  private totalBytes = 0;
  private nextCheckBytes: number;
  private isMakingRoom = false;

  constructor({
    capacityBytes = Infinity,
    policy = new EndLargestSource(),
    onEnded = () => undefined,
  }: InputAccountOptions = {}) {
    this.capacityBytes = capacityBytes;
    this.nextCheckBytes = capacityBytes;
    this.policy = policy;
    this.onEnded = onEnded;
  }

  /**
   * Opens the account of one exchange.
   *
   * @param source Identifies the endpoint or caller that the bytes come from.
   * @param onEnd Ends the exchange; without it the exchange is never ended.
   */
  hold(kind: HeldKind, source: string, onEnd?: () => void): HeldBytes {
    return new HeldBytes(
      kind,
      source,
      (held, change) => {
        this.changed(held, change);
      },
      onEnd,
    );
  }

  /** Bytes that are held for one purpose. */
  bytesOf(kind: HeldKind): number {
    return this.bytesByKind.get(kind) ?? 0;
  }

  /** The bytes that are held, by kind. */
  describe(): Readonly<Record<HeldKind, number>> {
    return {
      [HeldKind.Answer]: this.bytesOf(HeldKind.Answer),
      [HeldKind.Event]: this.bytesOf(HeldKind.Event),
      [HeldKind.RequestBody]: this.bytesOf(HeldKind.RequestBody),
      [HeldKind.UnreadAnswer]: this.bytesOf(HeldKind.UnreadAnswer),
    };
  }

  private changed(held: HeldBytes, change: number): void {
    this.bytesByKind.set(held.kind, this.bytesOf(held.kind) + change);
    this.totalBytes += change;
    if (held.bytes === 0) {
      this.holders.delete(held);
    } else if (held.bytes === change) {
      this.holders.add(held);
    }
    if (this.totalBytes <= this.capacityBytes) {
      this.nextCheckBytes = this.capacityBytes;
    } else if (this.totalBytes > this.nextCheckBytes && !this.isMakingRoom) {
      this.isMakingRoom = true;
      try {
        this.makeRoom();
      } finally {
        this.isMakingRoom = false;
      }
    }
  }

  private makeRoom(): void {
    const {totalBytes, capacityBytes} = this;
    const ended = this.policy.holdersToEnd(this.holders, capacityBytes);
    for (const holders of bySource(ended)) {
      const [{kind, source}] = holders;
      const endedBytes = sumOf(holders);
      const sourceBytes = sumOf(
        [...this.holders].filter(holder => holder.source === source),
      );
      for (const holder of holders) {
        holder.end();
      }
      this.onEnded({
        kind,
        source,
        ended: holders.length,
        endedBytes,
        sourceBytes,
        totalBytes,
        capacityBytes,
      });
    }
    this.nextCheckBytes = Math.max(
      capacityBytes,
      this.totalBytes + CHECK_STEP_BYTES,
    );
  }
}

function bySource(
  holders: readonly HeldBytes[],
): Iterable<[HeldBytes, ...HeldBytes[]]> {
  const groups = new Map<string, [HeldBytes, ...HeldBytes[]]>();
  for (const holder of holders) {
    const group = groups.get(holder.source);
    if (group === undefined) {
      groups.set(holder.source, [holder]);
    } else {
      group.push(holder);
    }
  }
  return groups.values();
}

function sumOf(holders: readonly HeldBytes[]): number {
  return holders.reduce((sum, {bytes}) => sum + bytes, 0);
}
