/** Recent runs that the moving average reflects. */
const MEAN_RUNS = 16;
/**
 * Pace of an engine that does nothing else, milliseconds per token. It is too short for
 * a busy engine, so that runs count as short until one was seen.
 */
const INITIAL_TOKEN_MILLISECONDS = 4;

/** Moving average of the time that a service's engines take for an output token. */
export class TokenPace {
  private mean: number | undefined;

  /** Milliseconds per output token. */
  get tokenMilliseconds(): number {
    return this.mean ?? INITIAL_TOKEN_MILLISECONDS;
  }

  /** Records the mean pace of one run, milliseconds per token. */
  observe(tokenMilliseconds: number): void {
    this.mean ??= tokenMilliseconds;
    this.mean += (tokenMilliseconds - this.mean) / MEAN_RUNS;
  }
}
