import type {EventLog} from '@wisteriadeal/runtime';

import type {LoopReading} from './loop-watch.js';

/** One line tells what has been gathered for so long. */
const GATHER_MILLISECONDS = 1_000;
/** A loop that is busy for longer without a pause is late for callers. */
const LATE_MILLISECONDS = 300;
/** Identifiers told of each kind. */
const MOST_EXAMPLES = 5;

/** Requests that ended alike: how many, and some of them. */
class Tally {
  private count = 0;
  private examples: string[] = [];

  get isEmpty(): boolean {
    return this.count === 0;
  }

  /** @returns Whether it became an example. */
  add(request: string | undefined): boolean {
    this.count++;
    const isExample = this.examples.length < MOST_EXAMPLES;
    if (isExample) {
      this.examples.push(request ?? '');
    }
    return isExample;
  }

  take(): {readonly count: number; readonly examples: string} {
    const taken = {count: this.count, examples: this.examples.join(' ')};
    this.count = 0;
    this.examples = [];
    return taken;
  }
}

/**
 * Tells of a host that is late in one line a second at most, whatever comes: how busy
 * its loop is, how long requests waited unseen, and who was not served for it.
 */
export class LoadReport {
  private readonly left = new Tally();
  private readonly refused = new Tally();
  private connections = 0;
  private requests = 0;
  private longestUnseen = 0;
  private longestTurn = 0;
  private toldAt = 0;

  constructor(private readonly events: EventLog) {}

  /** A connection was accepted. */
  connected(): void {
    this.connections++;
  }

  /** A turn of the loop has ended. */
  turned(milliseconds: number): void {
    this.longestTurn = Math.max(this.longestTurn, milliseconds);
  }

  /** A request was read. */
  requested(unseenMilliseconds: number): void {
    this.requests++;
    this.longestUnseen = Math.max(this.longestUnseen, unseenMilliseconds);
  }

  /**
   * A caller left before anything was done for its request.
   *
   * @returns Whether it is one of the examples, which have a line of their own.
   */
  callerLeft(request: string | undefined): boolean {
    return this.left.add(request);
  }

  /** A request was refused, as the host can't serve it in time. */
  requestRefused(request: string | undefined): void {
    this.refused.add(request);
  }

  /** Writes the line, where there is anything to tell and it is time. */
  tell(now: number, open: number, reading: LoopReading): void {
    if (now - this.toldAt < GATHER_MILLISECONDS) {
      return;
    }
    const isLate =
      reading.busyMilliseconds >= LATE_MILLISECONDS ||
      this.longestUnseen >= LATE_MILLISECONDS;
    if (isLate || !this.left.isEmpty || !this.refused.isEmpty) {
      const left = this.left.take();
      const refused = this.refused.take();
      this.events.warn('host late', {
        busyMilliseconds: Math.round(reading.busyMilliseconds),
        longestTurnMilliseconds: Math.round(this.longestTurn),
        longestUnseenMilliseconds: Math.round(this.longestUnseen),
        connections: this.connections,
        requests: this.requests,
        open,
        callersLeft: left.count,
        leftExamples: left.examples,
        refused: refused.count,
        refusedExamples: refused.examples,
      });
    }
    this.toldAt = now;
    this.connections = 0;
    this.requests = 0;
    this.longestUnseen = 0;
    this.longestTurn = 0;
  }
}
