/** Bytes of one connection that are processed in a turn of the event loop. */
export const CONNECTION_TURN_BYTES = 64 * 1024;
/** Bytes of all connections after which each further one gets the minimum. */
export const TURN_BYTES = 128 * 1024;
/** Bytes of all connections that are not divided into turns. */
export const QUIET_BYTES = 16 * 1024;
/** Bytes that each connection gets in any turn. */
export const MINIMUM_TURN_BYTES = 1024;
/** What a chunk costs besides its bytes, as a number of bytes. */
export const CHUNK_COST_BYTES = 64;

/**
 * Bounds the work that endpoints' answers cause in one turn of the event loop. A socket is
 * read up to 32 times in a turn, and bytes that arrive in tiny pieces take long, so that
 * without a bound a few connections keep the process from reading all others.
 *
 * @example
 * ```ts
 * const budget = new TurnBudget();
 * const share = new TurnShare(budget);
 * const bytes = share.take(chunk.length);
 * process(chunk.subarray(0, bytes));
 * await budget.nextTurn();
 * ```
 */
export class TurnBudget {
  private current = 0;
  private usedBytes = 0;
  private isScheduled = false;
  private waiting: (() => void)[] = [];

  /** @param schedule Calls back in the next turn, after sockets have been read. */
  constructor(
    private readonly schedule: (callback: () => void) => void = callback => {
      setImmediate(callback);
    },
  ) {}

  /** Number of the current turn. */
  get turn(): number {
    return this.current;
  }

  /** Bytes that one connection may use in this turn. */
  get connectionBytes(): number {
    return this.usedBytes < TURN_BYTES
      ? CONNECTION_TURN_BYTES
      : MINIMUM_TURN_BYTES;
  }

  /** Records work of this turn, as a number of bytes. */
  use(bytes: number): void {
    this.usedBytes += bytes;
    if (this.usedBytes >= QUIET_BYTES) {
      this.scheduleNextTurn();
    }
  }

  /** Resolves in the next turn. */
  nextTurn(): Promise<void> {
    this.scheduleNextTurn();
    return new Promise(resolve => {
      this.waiting.push(resolve);
    });
  }

  private scheduleNextTurn(): void {
    if (this.isScheduled) {
      return;
    }
    this.isScheduled = true;
    this.schedule(() => {
      this.isScheduled = false;
      this.current++;
      this.usedBytes = 0;
      const {waiting} = this;
      this.waiting = [];
      for (const resolve of waiting) {
        resolve();
      }
    });
  }
}

/** What one connection has used of a `TurnBudget`. */
export class TurnShare {
  private turn = -1;
  private usedBytes = 0;

  constructor(private readonly budget: TurnBudget) {}

  /**
   * Takes bytes for a chunk, or for its beginning.
   *
   * @param bytes Size of the chunk.
   * @returns Number of its bytes to process in this turn.
   */
  take(bytes: number): number {
    const taken = Math.min(bytes, Math.max(0, this.leftBytes));
    if (taken > 0) {
      this.usedBytes += taken + CHUNK_COST_BYTES;
      this.budget.use(taken + CHUNK_COST_BYTES);
    }
    return taken;
  }

  /** Whether the connection may use nothing more in this turn. */
  get isUsedUp(): boolean {
    return this.leftBytes <= 0;
  }

  private get leftBytes(): number {
    if (this.turn !== this.budget.turn) {
      this.turn = this.budget.turn;
      this.usedBytes = 0;
    }
    return this.budget.connectionBytes - this.usedBytes;
  }
}
