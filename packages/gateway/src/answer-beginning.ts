/** Consumes a chunk; nothing more is passed on until the promise has resolved. */
export type ChunkConsumer = (chunk: Buffer) => Promise<void> | undefined;

/** Bytes after which nothing more is read before the beginning is taken. */
const MAXIMUM_BYTES = 64 * 1024;

/**
 * The beginning of an answer, held until it is known whether the answer is wanted. Once
 * it is complete, nothing more is read before it is taken.
 *
 * @example
 * ```ts
 * const beginning = new AnswerBeginning(chunk => chunk.includes('\n'));
 * const reading = exchange.read(chunk => beginning.add(chunk));
 * await Promise.race([beginning.whenComplete, reading]);
 * await beginning.passTo(relay);
 * ```
 */
export class AnswerBeginning {
  /** Resolves when the beginning is complete, or as long as it may be. */
  readonly whenComplete: Promise<void>;
  private readonly chunks: Buffer[] = [];
  private readonly whenTaken: Promise<void>;
  private byteCount = 0;
  private consumer: ChunkConsumer | undefined;
  private completed: () => void = () => undefined;
  private taken: () => void = () => undefined;

  /** @param isComplete Called with each chunk; whether it ends the beginning. */
  constructor(private readonly isComplete: (chunk: Buffer) => boolean) {
    this.whenComplete = new Promise(resolve => {
      this.completed = resolve;
    });
    this.whenTaken = new Promise(resolve => {
      this.taken = resolve;
    });
  }

  /** Bytes that are held. */
  get bytes(): number {
    return this.byteCount;
  }

  /** Whether it was passed on, so that nothing is held any more. */
  get isTaken(): boolean {
    return this.consumer !== undefined;
  }

  /**
   * Holds a chunk, or passes it on if the beginning was taken.
   *
   * @returns A promise that resolves when more may be added; undefined if that is at
   *     once.
   */
  add(chunk: Buffer): Promise<void> | undefined {
    if (this.consumer !== undefined) {
      return this.consumer(chunk);
    }
    this.chunks.push(chunk);
    this.byteCount += chunk.length;
    if (this.isComplete(chunk) || this.byteCount >= MAXIMUM_BYTES) {
      this.completed();
      return this.whenTaken;
    }
    return undefined;
  }

  /**
   * Passes on what is held; later chunks go to the same consumer.
   *
   * @throws The error that the consumer throws.
   */
  async passTo(consumer: ChunkConsumer): Promise<void> {
    let chunk = this.chunks.shift();
    while (chunk !== undefined) {
      await consumer(chunk);
      chunk = this.chunks.shift();
    }
    this.consumer = consumer;
    this.taken();
  }
}
