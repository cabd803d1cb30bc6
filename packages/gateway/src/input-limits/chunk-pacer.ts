import {TurnShare, type TurnBudget} from './turn-budget.js';

/** What consumes the chunks of an answer. */
export interface ChunkConsumer {
  /**
   * Consumes a chunk or a part of one.
   *
   * @returns A promise if nothing more should be passed on until it has resolved.
   */
  consume(part: Buffer): Promise<void> | undefined;
  /** Whether the answer has been cut, so that nothing more is passed on. */
  isCut(): boolean;
  /** Called when the rest of a chunk is left for a later turn of the event loop. */
  deferred(): void;
}

/**
 * Passes on the chunks of one connection, in each turn of the event loop no more than its
 * share of the turn.
 *
 * @example
 * ```ts
 * const pacer = new ChunkPacer(budget, consumer);
 * incoming.on('data', chunk => pauseUntil(incoming, pacer.pass(chunk)));
 * ```
 */
export class ChunkPacer {
  private readonly share: TurnShare;

  constructor(
    private readonly budget: TurnBudget,
    private readonly consumer: ChunkConsumer,
  ) {
    this.share = new TurnShare(budget);
  }

  /**
   * Passes on a chunk.
   *
   * @returns A promise that resolves when the next chunk may be passed on; undefined if
   *     that is at once.
   * @throws The error that the consumer throws; the promise rejects with it.
   */
  pass(chunk: Buffer): Promise<void> | undefined {
    const taken = this.share.take(chunk.length);
    const consumed =
      taken === 0
        ? undefined
        : this.consumer.consume(
            taken === chunk.length ? chunk : chunk.subarray(0, taken),
          );
    if (taken < chunk.length) {
      return this.passLater(chunk.subarray(taken), consumed);
    }
    return consumed ?? (this.share.isUsedUp ? this.nextTurn() : undefined);
  }

  private async passLater(
    rest: Buffer,
    consumed: Promise<void> | undefined,
  ): Promise<void> {
    await (consumed ?? this.nextTurn());
    if (!this.consumer.isCut()) {
      await this.pass(rest);
    }
  }

  private nextTurn(): Promise<void> {
    this.consumer.deferred();
    return this.budget.nextTurn();
  }
}
