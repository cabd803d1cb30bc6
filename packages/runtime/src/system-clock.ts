import {Clock} from '@wisteriadeal/platform';

/** The operating system's clocks. */
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
      const timer = setTimeout(finish, milliseconds);
      signal?.addEventListener('abort', finish, {once: true});
    });
  }
}
