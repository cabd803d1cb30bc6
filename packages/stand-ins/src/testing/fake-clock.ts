import {Clock} from '@wisteriadeal/platform';

interface Sleeper {
  readonly wakeAtMilliseconds: number;
  readonly wake: () => void;
}

/** Lets every promise that is ready run on before time moves again. */
function settlePromises(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

/** A clock whose time moves only when a test says so. */
export class FakeClock extends Clock {
  private now = 0;
  private sleepers: Sleeper[] = [];

  /** @param startedAtMilliseconds The wall clock's time at zero. */
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

  /** How many sleeps are in progress. */
  get sleeping(): number {
    return this.sleepers.length;
  }

  /**
   * Moves time forward and wakes sleepers in the order of their time; what they
   * do between two wake-ups is done before the next.
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
