import {NetworkTimeout} from '@wisteriadeal/platform';

/** Someone who waits for a read that begins after this one. */
interface ReadWait {
  readonly after: number;
  readonly timeout: NetworkTimeout;
  /** Whether an answer of the store has restarted its time. */
  isExtended: boolean;
  readonly end: (isRead: boolean) => void;
}

/**
 * Waits for reads of a topic, which are numbered: times of a coarse clock would not
 * tell a read that began before from one that began after.
 */
export class ReadWaits {
  private readonly waits = new Set<ReadWait>();
  private begun = 0;
  private isClosed = false;

  get isEmpty(): boolean {
    return this.waits.size === 0;
  }

  /**
   * Resolves with whether a read that begins from now on has ended in time.
   *
   * @param maximumMilliseconds How long to wait for an answer of the store: for that of
   *     the read in progress first, and again for that of the next one.
   */
  next(maximumMilliseconds: number): Promise<boolean> {
    if (this.isClosed) {
      return Promise.resolve(false);
    }
    return new Promise(resolve => {
      const timeout = new NetworkTimeout(maximumMilliseconds, () => {
        wait.end(false);
      });
      const wait: ReadWait = {
        after: this.begun,
        timeout,
        isExtended: false,
        end: isRead => {
          timeout.close();
          this.waits.delete(wait);
          resolve(isRead);
        },
      };
      this.waits.add(wait);
    });
  }

  /** Records that a read begins, and returns its number. */
  readBegins(): number {
    return ++this.begun;
  }

  /** Records that a read has delivered everything that was written before it began. */
  readEnded(read: number): void {
    for (const wait of this.waits) {
      if (wait.after < read) {
        wait.end(true);
      }
    }
    this.answered();
  }

  /** Records that the store has answered a read: it is slow, and not lost. */
  answered(): void {
    for (const wait of this.waits) {
      if (!wait.isExtended) {
        wait.isExtended = true;
        wait.timeout.refresh();
      }
    }
  }

  /** Ends all waits without a read. */
  close(): void {
    this.isClosed = true;
    for (const wait of this.waits) {
      wait.end(false);
    }
  }
}
