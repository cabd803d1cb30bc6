import {BatchInterval} from '@wisteriadeal/decisions';
import type {EventLog} from '@wisteriadeal/runtime';
import type {Readable} from 'node:stream';

/** What is told of batches, for metrics. */
export interface BatchListener {
  /** The interval changed; milliseconds, 0 if each event is read at once. */
  batchIntervalChanged(milliseconds: number): void;
  /** The collected events of a stream were read together. */
  batchRead(): void;
}

/**
 * Reads the events of streams together while the event loop is busy. Between two reads
 * the streams are paused and collect what arrives.
 *
 * @example
 * ```ts
 * const batches = new EventBatches(200, events, metrics);
 * batches.observe(now, performance.nodeTiming.idleTime);
 * incoming.on('data', chunk => {
 *   relay(chunk);
 *   batches.hold(incoming);
 * });
 * ```
 */
export class EventBatches {
  private readonly interval: BatchInterval;
  private readonly held = new Set<Readable>();
  private timer: NodeJS.Timeout | undefined;

  /**
   * @param passMilliseconds Time after its generation within which an event has to reach
   *     the caller, milliseconds; 0 turns batches off.
   */
  constructor(
    passMilliseconds: number,
    private readonly events: EventLog,
    private readonly listener: BatchListener,
  ) {
    this.interval = new BatchInterval(passMilliseconds);
  }

  /**
   * Records the event loop's idle time. Must be called several times a second.
   *
   * @param now Monotonic clock, milliseconds.
   * @param idleMilliseconds Idle time since the process started, milliseconds.
   */
  observe(now: number, idleMilliseconds: number): void {
    const before = this.interval.milliseconds;
    this.interval.observe(now, idleMilliseconds);
    const {milliseconds, idleShare} = this.interval;
    if (milliseconds !== before) {
      this.listener.batchIntervalChanged(milliseconds);
      this.events.info('stream batches changed', {
        intervalMilliseconds: milliseconds,
        idleShare: Math.round(idleShare * 100) / 100,
      });
    }
  }

  /** Pauses a stream, whose data has just been read, until the next common read. */
  hold(stream: Readable): void {
    const {milliseconds} = this.interval;
    if (milliseconds === 0) {
      return;
    }
    stream.pause();
    this.held.add(stream);
    this.timer ??= setTimeout(() => {
      this.readAll();
    }, milliseconds);
  }

  /** Resumes all streams. */
  close(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    for (const stream of this.held) {
      stream.resume();
    }
    this.held.clear();
  }

  private readAll(): void {
    this.timer = undefined;
    const due = [...this.held];
    this.held.clear();
    this.readNext(due.values());
  }

  /**
   * Reads one stream per event loop turn. The loop accepts one new connection per turn,
   * and a turn that reads all streams would make new callers wait.
   */
  private readNext(due: IterableIterator<Readable>): void {
    const next = due.next();
    if (next.done !== true) {
      this.read(next.value);
      setImmediate(() => {
        this.readNext(due);
      });
    }
  }

  /**
   * Reads what a paused stream has collected as one chunk, which its data listener gets.
   * A stream without data flows again, so that its next event or its end is not delayed.
   */
  private read(stream: Readable): void {
    if (stream.destroyed) {
      return;
    }
    if (stream.readableLength === 0) {
      stream.resume();
      return;
    }
    this.listener.batchRead();
    stream.read();
  }
}
