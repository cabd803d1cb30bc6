import type {Clock} from '@wisteriadeal/platform';

/**
 * A sleep that something else can end early.
 *
 * One controller a sleep, with its listener taken off the long-lived signal
 * afterwards: `AbortSignal.any` would leave a dependent signal behind each time,
 * and a keeper sleeps many times a second for as long as it lives.
 */
export class WakeUp {
  private end: (() => void) | undefined;

  constructor(private readonly clock: Clock) {}

  /** Ends the sleep in progress, if there is one. */
  wake(): void {
    this.end?.();
  }

  /** Resolves after the delay, when woken, or when the signal is aborted. */
  async sleep(milliseconds: number, signal: AbortSignal): Promise<void> {
    const over = new AbortController();
    // A reason of its own spares an exception with a stack for each wake.
    const end = () => {
      over.abort(null);
    };
    this.end = end;
    signal.addEventListener('abort', end, {once: true});
    try {
      if (!signal.aborted) {
        await this.clock.sleep(milliseconds, over.signal);
      }
    } finally {
      signal.removeEventListener('abort', end);
      this.end = undefined;
    }
  }
}
