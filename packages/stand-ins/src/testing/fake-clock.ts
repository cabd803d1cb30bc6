import {Clock} from '@wisteriadeal/platform';

interface Sleeper {
  readonly wakeAtMilliseconds: number;
  readonly wake: () => void;
}

/** Waits until the continuations of all settled promises have run. */
function settlePromises(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

/** A clock that advances only when a test calls `advance`. */
export class FakeClock extends Clock {
  private now = 0;
  private sleepers: Sleeper[] = [];

  /** @param startedAtMilliseconds Wall-clock time at monotonic time 0. */
  constructor(private readonly startedAtMilliseconds = 0) {
    super();
  }

  override monotonicMilliseconds(): number {
    return this.now;
  }

  override wallMilliseconds(): number {
    return this.startedAtMilliseconds + this.now;
  }

  override sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted === true) {
      return Promise.resolve();
    }
    return new Promise(resolve => {
      const wake = () => {
        this.sleepers = this.sleepers.filter(other => other !== sleeper);
        signal?.removeEventListener('abort', wake);
        resolve();
      };
      const sleeper = {wakeAtMilliseconds: this.now + milliseconds, wake};
      this.sleepers.push(sleeper);
      signal?.addEventListener('abort', wake, {once: true});
    });
  }

  /** Number of sleeps in progress. */
  get sleeping(): number {
    return this.sleepers.length;
  }

  /**
   * Advances the time and ends sleeps in order of their deadlines. Promise
   * continuations run to completion between two of them.
   *
   * @example
   * ```ts
   * await clock.advance(1_000);
   * ```
   */
  async advance(milliseconds: number): Promise<void> {
    const target = this.now + milliseconds;
    await settlePromises();
    for (let next = this.earliest(target); next; next = this.earliest(target)) {
      this.now = Math.max(this.now, next.wakeAtMilliseconds);
      next.wake();
      await settlePromises();
    }
    this.now = target;
  }

  private earliest(target: number): Sleeper | undefined {
    return this.sleepers
      .filter(sleeper => sleeper.wakeAtMilliseconds <= target)
      .sort(
        (one, other) => one.wakeAtMilliseconds - other.wakeAtMilliseconds,
      )[0];
  }
}
