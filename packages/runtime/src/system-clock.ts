import {Clock} from '@wisteriadeal/platform';

/** 24 days; a timer that is set for longer is due at once. */
const LONGEST_TIMER_MILLISECONDS = 2 ** 31 - 1;

/** The operating system's clocks. A sleep ends after 24 days at the latest. */
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
        Math.min(milliseconds, LONGEST_TIMER_MILLISECONDS),
      );
      signal?.addEventListener('abort', finish, {once: true});
    });
  }
}
