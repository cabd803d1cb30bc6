import type {ConsolaReporter, LogObject} from 'consola';

import type {EventFields} from './event-log.js';
import {DEFAULT_LINE_LIMITS, LineBudget} from './line-budget.js';

/** Where lines go, and how many of them were lost there. */
export interface LineSink {
  /** Takes a line with its line end; never waits. */
  push(line: string): void;
  /** Lines that were dropped since the last call. */
  takeDropped(): number;
  /** Whether a few more lines would be taken. */
  readonly hasRoom: boolean;
}

/** How often it is told that lines were left out. */
const TELL_MILLISECONDS = 1_000;

/** Turns events into JSON lines, within a budget of lines for each event. */
export class LineReporter implements ConsolaReporter {
  private readonly budget = new LineBudget(DEFAULT_LINE_LIMITS);
  private toldAt = 0;

  constructor(
    private readonly sink: LineSink,
    private readonly common: EventFields,
  ) {}

  log(entry: LogObject): void {
    const [event, fields] = entry.args as [string, EventFields];
    const now = entry.date.getTime();
    if (this.budget.take(event, now)) {
      this.write(entry.date, entry.type, event, fields);
    }
    this.tellWhatIsMissing(entry.date);
  }

  private tellWhatIsMissing(date: Date): void {
    // A clock that was set back must not silence this for as long.
    const isTold = Math.abs(date.getTime() - this.toldAt) < TELL_MILLISECONDS;
    // A number that is dropped with its line is lost.
    if (isTold || !this.sink.hasRoom) {
      return;
    }
    this.toldAt = date.getTime();
    for (const {event, lines} of this.budget.takeWithheld()) {
      this.write(date, 'warn', 'log lines withheld', {
        ...this.common,
        of: event,
        lines,
        reason: 'more lines of this event than its budget',
      });
    }
    const dropped = this.sink.takeDropped();
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
