/** Someone who waits for a read that begins after this one. */
interface ReadWait {
  readonly after: number;
  readonly end: (isRead: boolean) => void;
}

/**
 * Waits for reads of a topic, which are numbered: times of a coarse clock would not
 * tell a read that began before from one that began after.
 */
export class ReadWaits {
  private readonly waits = new Set<ReadWait>();
  private begun = 0;

  /** Whether nobody waits. */
  get isEmpty(): boolean {
    return this.waits.size === 0;
  }

  /**
   * Resolves with whether a read that begins from now on has ended in time.
   *
   * @param maximumMilliseconds How long to wait for that.
   */
  next(maximumMilliseconds: number): Promise<boolean> {
    return new Promise(resolve => {
      const timer = setTimeout(() => {
        wait.end(false);
      }, maximumMilliseconds);
      const wait = {
        after: this.begun,
        end: (isRead: boolean) => {
          clearTimeout(timer);
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
  }

  /** Ends all waits without a read. */
  close(): void {
    for (const wait of this.waits) {
      wait.end(false);
    }
  }
}
