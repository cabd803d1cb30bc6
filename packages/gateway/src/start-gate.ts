/**
 * Holds requests back until a process that has just started knows what it needs, and
 * never after that. Load: callers come back the moment a host listens. Harm without
 * it: they are refused for a configuration that comes some milliseconds later.
 */
export class StartGate {
  private readonly opened: Promise<void>;
  private open: () => void = () => undefined;
  private readonly missing: Set<string>;
  private timer: NodeJS.Timeout | undefined;
  private hasOpened = false;

  /** @param needs Names of what must be known. */
  constructor(needs: readonly string[]) {
    this.missing = new Set(needs);
    this.opened = new Promise(resolve => {
      this.open = () => {
        this.hasOpened = true;
        resolve();
      };
    });
  }

  /** Opens by then in any case: what is still missing may take long. */
  openAfter(milliseconds: number): void {
    this.timer = setTimeout(this.open, milliseconds);
  }

  /** One of the needs is met. */
  met(need: string): void {
    this.missing.delete(need);
    if (this.missing.size === 0) {
      this.close();
      this.open();
    }
  }

  get isOpen(): boolean {
    return this.hasOpened;
  }

  /** Resolves once it is open. */
  passed(): Promise<void> {
    return this.opened;
  }

  /** Waits for nothing more. */
  close(): void {
    clearTimeout(this.timer);
  }
}
