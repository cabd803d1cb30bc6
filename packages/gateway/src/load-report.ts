import type {EventLog} from '@wisteriadeal/runtime';

import type {EventLoopReading} from './event-loop-monitor.js';

/**
 * Interval of log lines, each of which covers the time since the one before.
 */
const REPORT_INTERVAL_MILLISECONDS = 1_000;
/**
 * An event loop that is busy without a pause, or leaves a request unread, for
 * this long makes callers wait.
 */
const LATE_THRESHOLD_MILLISECONDS = 300;
/** Maximum number of request identifiers logged per kind. */
const MAXIMUM_EXAMPLES = 5;

/** Number of requests with the same outcome, and some of their identifiers. */
class RequestTally {
  private count = 0;
  private examples: string[] = [];

  get isEmpty(): boolean {
    return this.count === 0;
  }

  /** @returns Whether the request became an example. */
  add(request: string | undefined): boolean {
    this.count++;
    const isExample = this.examples.length < MAXIMUM_EXAMPLES;
    if (isExample) {
      this.examples.push(request ?? '');
    }
    return isExample;
  }

  takeAndReset(): {readonly count: number; readonly examples: string} {
    const taken = {count: this.count, examples: this.examples.join(' ')};
    this.count = 0;
    this.examples = [];
    return taken;
  }
}

/**
 * Logs at most one line per second about a host that falls behind, regardless
 * of load: how busy its event loop is, how long requests waited unread, and
 * which requests were not served because of that.
 */
export class LoadReport {
  private readonly left = new RequestTally();
  private readonly refused = new RequestTally();
  private connections = 0;
  private requests = 0;
  private longestUnseenMilliseconds = 0;
  private longestTurnMilliseconds = 0;
  private lastReportAt = 0;

  constructor(private readonly events: EventLog) {}

  /** Counts an accepted connection. */
  connectionAccepted(): void {
    this.connections++;
  }

  /** Records the duration of an event loop turn. */
  turnEnded(milliseconds: number): void {
    this.longestTurnMilliseconds = Math.max(
      this.longestTurnMilliseconds,
      milliseconds,
    );
  }

  /** Counts a request that was read. */
  requestRead(unseenMilliseconds: number): void {
    this.requests++;
    this.longestUnseenMilliseconds = Math.max(
      this.longestUnseenMilliseconds,
      unseenMilliseconds,
    );
  }

  /**
   * Counts a caller that left before its request was served.
   *
   * @returns Whether the request is one of the examples, which get a log line
   *     of their own.
   */
  callerLeft(request: string | undefined): boolean {
    return this.left.add(request);
  }

  /**
   * Counts a request that was refused because the host can't serve it in time.
   */
  requestRefused(request: string | undefined): void {
    this.refused.add(request);
  }

  /** Writes the log line if it is due and there is anything to report. */
  logIfDue(now: number, open: number, reading: EventLoopReading): void {
    if (now - this.lastReportAt < REPORT_INTERVAL_MILLISECONDS) {
      return;
    }
    const isLate =
      reading.busyMilliseconds >= LATE_THRESHOLD_MILLISECONDS ||
      this.longestUnseenMilliseconds >= LATE_THRESHOLD_MILLISECONDS;
    if (isLate || !this.left.isEmpty || !this.refused.isEmpty) {
      const left = this.left.takeAndReset();
      const refused = this.refused.takeAndReset();
      this.events.warn('host falling behind', {
        busyMilliseconds: Math.round(reading.busyMilliseconds),
        longestTurnMilliseconds: Math.round(this.longestTurnMilliseconds),
        longestUnseenMilliseconds: Math.round(this.longestUnseenMilliseconds),
        connections: this.connections,
        requests: this.requests,
        open,
        callersLeft: left.count,
        leftExamples: left.examples,
        refused: refused.count,
        refusedExamples: refused.examples,
      });
    }
    this.lastReportAt = now;
    this.connections = 0;
    this.requests = 0;
    this.longestUnseenMilliseconds = 0;
    this.longestTurnMilliseconds = 0;
  }
}
