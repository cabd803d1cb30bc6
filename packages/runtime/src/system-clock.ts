import {Clock} from '@wisteriadeal/platform';

/** About 24 days; Node.js fires a timer with a longer delay at once. */
const MAXIMUM_TIMER_MILLISECONDS = 2 ** 31 - 1;

/** The operating system's clocks. A sleep lasts at most about 24 days. */
export class SystemClock extends Clock {
  override monotonicMilliseconds(): number {
    return performance.now();
  }

  override wallMilliseconds(): number {
    return Date.now();
  }

  override sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted === true) {
      return Promise.resolve();
    }
    return new Promise(resolve => {
      const finish = () => {
        clearTimeout(timer);
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      const timer = setTimeout(
        finish,
        Math.min(milliseconds, MAXIMUM_TIMER_MILLISECONDS),
      );
      signal?.addEventListener('abort', finish, {once: true});
    });
  }
}
