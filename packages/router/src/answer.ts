import type {CallerIdentity} from './identity.js';
import {ProblemName, type Problem} from './problem.js';
import {Phase, type RequestState} from './request-state.js';

/** HTTP status and content type of an answer. */
export interface AnswerHead {
  readonly status: number;
  readonly contentType: string;
}

/** One event of a stream, or the complete body of a plain answer. */
export interface AnswerEvent {
  /** Counts from 0 within the answer. */
  readonly index: number;
  readonly data: Uint8Array;
}

/** How an answer ended: complete, or with a problem. */
export type AnswerEnd = {readonly complete: true} | {readonly problem: Problem};

const RUN_PROBLEMS: ReadonlySet<ProblemName> = new Set([
  ProblemName.FailedAfterRunning,
  ProblemName.OutcomeUnknown,
]);

/** Properties of an answer that are fixed when its request arrives. */
export interface AnswerOptions extends CallerIdentity {
  readonly requestId: string;
  /** SHA-256 of the request's content. */
  readonly fingerprint: string;
  /** Wall-clock time in seconds, reported to the caller. */
  readonly createdSeconds: number;
}

/**
 * The answer of one request, while it is produced and for as long as it is kept.
 * Readers can attach and detach at any time; each receives every event after its
 * starting position, once and in order.
 */
export class Answer {
  head: AnswerHead | undefined;
  end: AnswerEnd | undefined;
  bytes = 0;
  /** Whether the request ran, so that retries get this answer and don't run. */
  shouldKeep = false;
  /** States that the request went through, for inspection. */
  readonly history: Phase[] = [Phase.Received];
  readonly events: AnswerEvent[] = [];
  private readonly waiters = new Set<() => void>();
  private readers = 0;
  private readonly abandonment = new AbortController();

  constructor(readonly options: AnswerOptions) {}

  /** Aborted if the answer has no reader when the reconnect grace time ends. */
  get abandoned(): AbortSignal {
    return this.abandonment.signal;
  }

  /**
   * Whether the answer ended and reports a run: complete, failed after running or
   * unknown. Only such an answer can serve a retry.
   */
  get endedAfterRun(): boolean {
    const {end} = this;
    return (
      end !== undefined &&
      ('complete' in end || RUN_PROBLEMS.has(end.problem.problem))
    );
  }

  /** Current number of readers. */
  get readerCount(): number {
    return this.readers;
  }

  /** Appends a state to the history of the request. */
  recordState(state: RequestState): void {
    this.history.push(state.kind);
  }

  /** Sets the head; later calls have no effect. */
  setHead(head: AnswerHead): void {
    this.head ??= head;
    this.notify();
  }

  /** Appends an event. */
  append(data: Uint8Array): void {
    this.events.push({index: this.events.length, data});
    this.bytes += data.byteLength;
    this.notify();
  }

  /** Ends the answer; later calls have no effect. */
  finish(end: AnswerEnd): void {
    this.end ??= end;
    this.notify();
  }

  /**
   * Registers a reader; the returned function removes it.
   *
   * @param onLastReaderGone Called if the last reader leaves before the end.
   */
  addReader(onLastReaderGone: () => void): () => void {
    this.readers++;
    let attached = true;
    return () => {
      if (!attached) {
        return;
      }
      attached = false;
      this.readers--;
      if (this.readers === 0 && this.end === undefined) {
        onLastReaderGone();
      }
    };
  }

  /** Aborts `abandoned`: no reader returned, so the work can be cancelled. */
  abandon(): void {
    this.abandonment.abort();
  }

  /** Waits until event `nextIndex` exists, the answer ends or `signal` aborts. */
  async waitForEvent(nextIndex: number, signal?: AbortSignal): Promise<void> {
    while (
      this.end === undefined &&
      this.events.length <= nextIndex &&
      signal?.aborted !== true
    ) {
      await new Promise<void>(resolve => {
        const wake = () => {
          this.waiters.delete(wake);
          signal?.removeEventListener('abort', wake);
          resolve();
        };
        this.waiters.add(wake);
        signal?.addEventListener('abort', wake, {once: true});
      });
    }
  }

  /** Yields the events after `lastEvent` until the answer ends or `signal` aborts. */
  async *read(
    lastEvent: number,
    signal?: AbortSignal,
  ): AsyncGenerator<AnswerEvent, void> {
    for (let next = lastEvent + 1; ; next++) {
      await this.waitForEvent(next, signal);
      const event = this.events[next];
      if (event === undefined || signal?.aborted === true) {
        return;
      }
      yield event;
    }
  }

  private notify(): void {
    for (const wake of [...this.waiters]) {
      wake();
    }
  }
}
