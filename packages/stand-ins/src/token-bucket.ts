import type {Clock} from '@wisteriadeal/platform';

/** A token bucket that starts full. */
export class TokenBucket {
  private level: number;
  private filledAtMilliseconds: number;

  constructor(
    private readonly clock: Clock,
    private readonly capacity: number,
    private readonly tokensPerMillisecond: number,
  ) {
    this.level = capacity;
    this.filledAtMilliseconds = clock.monotonicMilliseconds();
  }

  /**
   * Consumes one token if one is available.
   *
   * @returns 0 if a token was consumed, else the milliseconds until one is available.
   */
  take(): number {
    const now = this.clock.monotonicMilliseconds();
    const gained =
      (now - this.filledAtMilliseconds) * this.tokensPerMillisecond;
    this.level = Math.min(this.capacity, this.level + gained);
    this.filledAtMilliseconds = now;
    if (this.level >= 1) {
      this.level -= 1;
      return 0;
    }
    return Math.ceil((1 - this.level) / this.tokensPerMillisecond);
  }
}
