const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;

/** Emits stop signals, as `process` does. */
export interface SignalSource {
  on(signal: 'SIGTERM' | 'SIGINT', listener: () => void): unknown;
}

/**
 * Records a stop signal until the process can shut down gracefully. Without a handler
 * the signal would end the process at once and cut the connections of callers that it
 * accepted while starting.
 */
export class StopSignal {
  /** Resolves on the first stop signal; later signals are ignored. */
  readonly received: Promise<void>;
  private receivedAt: number | undefined;

  constructor(source: SignalSource) {
    this.received = new Promise(resolve => {
      const listener = () => {
        this.receivedAt ??= performance.now();
        resolve();
      };
      for (const signal of STOP_SIGNALS) {
        source.on(signal, listener);
      }
    });
  }

  /** Time since the first stop signal, milliseconds; 0 if none was received. */
  get millisecondsSinceReceived(): number {
    return this.receivedAt === undefined
      ? 0
      : performance.now() - this.receivedAt;
  }
}
