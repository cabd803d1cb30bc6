/**
 * Holds back requests until a process that has just started has the data it
 * needs, and never again after that. Callers reconnect as soon as a host
 * listens; without the gate they would be refused for lack of a configuration
 * that arrives some milliseconds later.
 */
export class StartGate {
  private readonly opened: Promise<void>;
  private open: () => void = () => undefined;
  private readonly missing: Set<string>;
  private timer: NodeJS.Timeout | undefined;
  private hasOpened = false;

  /** @param requirements Names of the data that must be present. */
  constructor(requirements: readonly string[]) {
    this.missing = new Set(requirements);
    this.opened = new Promise(resolve => {
      this.open = () => {
        this.hasOpened = true;
        resolve();
      };
    });
  }

  /**
   * Opens the gate after this time at the latest, as missing data may take long
   * to arrive.
   */
  openAfter(milliseconds: number): void {
    this.timer = setTimeout(this.open, milliseconds);
  }

  /** Opens the gate, whatever is missing. */
  openNow(): void {
    this.close();
    this.open();
  }

  /** Records that one of the requirements is met; the last one opens the gate. */
  requirementMet(requirement: string): void {
    this.missing.delete(requirement);
    if (this.missing.size === 0) {
      this.openNow();
    }
  }

  get isOpen(): boolean {
    return this.hasOpened;
  }

  /** Resolves once the gate is open. */
  whenOpen(): Promise<void> {
    return this.opened;
  }

  /** Cancels the time limit of `openAfter`. */
  close(): void {
    clearTimeout(this.timer);
  }
}
