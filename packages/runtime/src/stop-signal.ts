const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;

/** Emits signals to a process, as the process itself does. */
export interface SignalSource {
  on(signal: 'SIGTERM' | 'SIGINT', take: () => void): unknown;
}

/**
 * Keeps that the process was told to stop until there is somebody to stop it in good
 * order. Without a handler the signal ends it at once, and callers that it has taken
 * while it starts are cut.
 */
export class StopSignal {
  /** Resolves when the process is told to stop; further signals change nothing. */
  readonly told: Promise<void>;
  private toldAt: number | undefined;

  constructor(source: SignalSource) {
    this.told = new Promise(resolve => {
      const take = () => {
        this.toldAt ??= performance.now();
        resolve();
      };
      for (const signal of STOP_SIGNALS) {
        source.on(signal, take);
      }
    });
  }

  /** How long ago the process was told, milliseconds; 0 where it was not. */
  get age(): number {
    return this.toldAt === undefined ? 0 : performance.now() - this.toldAt;
  }
}
