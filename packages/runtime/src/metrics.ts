import type {MetricsSettings} from '@wisteriadeal/schema';
import {StatsD} from 'hot-shots';

/**
 * Metrics of a process. Sending never blocks, and lost metrics do not affect
 * requests.
 */
export abstract class Metrics {
  /** Increments a counter. */
  abstract increment(name: string, by?: number): void;
  /** Sets a gauge. */
  abstract gauge(name: string, value: number): void;
  /** Records a duration in milliseconds. */
  abstract timing(name: string, milliseconds: number): void;
  /** Sends the buffered metrics and closes the socket. */
  abstract close(): Promise<void>;
}

/** Discards metrics; used when the settings name no receiver. */
export class NoMetrics extends Metrics {
  override increment(): void {
    // Nothing is sent.
  }
  override gauge(): void {
    // Nothing is sent.
  }
  override timing(): void {
    // Nothing is sent.
  }
  override close(): Promise<void> {
    return Promise.resolve();
  }
}

/** Sends metrics as StatsD datagrams over UDP. */
export class StatsdMetrics extends Metrics {
  private readonly client: StatsD;

  constructor(
    settings: MetricsSettings,
    tags: Readonly<Record<string, string>>,
  ) {
    super();
    this.client = new StatsD({
      host: settings.address,
      port: settings.port,
      prefix: 'wisteriadeal.',
      globalTags: {...tags},
      maxBufferSize: 1_400,
      errorHandler: () => {
        // Metrics are best effort: a failed datagram must not affect a request.
      },
    });
  }

  override increment(name: string, by = 1): void {
    this.client.increment(name, by);
  }

  override gauge(name: string, value: number): void {
    this.client.gauge(name, value);
  }

  override timing(name: string, milliseconds: number): void {
    this.client.timing(name, milliseconds);
  }

  override close(): Promise<void> {
    return new Promise(resolve => {
      this.client.close(() => {
        resolve();
      });
    });
  }
}

/**
 * Creates the metrics client for the settings; without settings, metrics are
 * discarded.
 *
 * @example
 * ```ts
 * const metrics = createMetrics(settings.process?.metrics, {process: 'router'});
 * ```
 */
export function createMetrics(
  settings: MetricsSettings | undefined,
  tags: Readonly<Record<string, string>>,
): Metrics {
  return settings === undefined
    ? new NoMetrics()
    : new StatsdMetrics(settings, tags);
}
