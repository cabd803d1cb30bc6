import type {Clock} from '@wisteriadeal/platform';

/**
 * A sleep that can be ended early by `wake`.
 *
 * Each sleep uses its own controller and removes its listener from the
 * long-lived signal afterwards. `AbortSignal.any` would leave one dependent
 * signal per sleep, and a keeper sleeps many times per second for its whole
 * lifetime.
 */
export class InterruptibleSleep {
  private endSleep: (() => void) | undefined;

  constructor(private readonly clock: Clock) {}

  /** Ends the sleep in progress, if any. */
  wake(): void {
    this.endSleep?.();
  }

  /** Resolves after the delay, when woken, or when the signal is aborted. */
  async sleep(milliseconds: number, signal: AbortSignal): Promise<void> {
    const sleepController = new AbortController();
    // An explicit reason avoids creating an exception with a stack trace per
    // wake.
    const end = () => {
      sleepController.abort(null);
    };
    this.endSleep = end;
    signal.addEventListener('abort', end, {once: true});
    try {
      if (!signal.aborted) {
        await this.clock.sleep(milliseconds, sleepController.signal);
      }
    } finally {
      signal.removeEventListener('abort', end);
      this.endSleep = undefined;
    }
  }
}
