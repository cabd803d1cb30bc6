import type {ConsolaReporter, LogObject} from 'consola';

import type {EventFields} from './event-log.js';
import {
  DEFAULT_LINE_RATE_LIMITS,
  LineRateLimiter,
} from './line-rate-limiter.js';

/** Destination of log lines, which counts the lines that it drops. */
export interface LineSink {
  /** Adds a line, including its line feed; never blocks. */
  push(line: string): void;
  /** Returns the number of lines dropped since the last call. */
  consumeDroppedCount(): number;
  /** Whether there is room for a few more lines. */
  readonly hasRoom: boolean;
}

/** Minimum interval between reports of suppressed or dropped lines. */
const REPORT_INTERVAL_MILLISECONDS = 1_000;

/** Formats events as JSON lines and limits the rate of lines per event. */
export class LineReporter implements ConsolaReporter {
  private readonly rateLimiter = new LineRateLimiter(DEFAULT_LINE_RATE_LIMITS);
  private reportedAt = 0;

  constructor(
    private readonly sink: LineSink,
    private readonly common: EventFields,
  ) {}

  log(entry: LogObject): void {
    const [event, fields] = entry.args as [string, EventFields];
    const now = entry.date.getTime();
    if (this.rateLimiter.tryAcquire(event, now)) {
      this.write(entry.date, entry.type, event, fields);
    }
    this.reportMissingLines(entry.date);
  }

  private reportMissingLines(date: Date): void {
    // abs() keeps reports from stopping until the clock catches up after it was set
    // back.
    const isRecentlyReported =
      Math.abs(date.getTime() - this.reportedAt) < REPORT_INTERVAL_MILLISECONDS;
    // Reading a counter resets it, so the count would be lost if its line were
    // dropped.
    if (isRecentlyReported || !this.sink.hasRoom) {
      return;
    }
    this.reportedAt = date.getTime();
    for (const {event, lines} of this.rateLimiter.consumeSuppressedCounts()) {
      this.write(date, 'warn', 'log lines suppressed', {
        ...this.common,
        suppressedEvent: event,
        lines,
        reason: 'the event exceeded its rate limit for log lines',
      });
    }
    const dropped = this.sink.consumeDroppedCount();
    if (dropped > 0) {
      this.write(date, 'warn', 'log lines dropped', {
        ...this.common,
        lines: dropped,
        reason: 'standard output was not read in time, or a write failed',
      });
    }
  }

  private write(
    date: Date,
    level: string,
    event: string,
    fields: EventFields,
  ): void {
    this.sink.push(
      `${JSON.stringify({time: date.toISOString(), level, event, ...fields})}\n`,
    );
  }
}
