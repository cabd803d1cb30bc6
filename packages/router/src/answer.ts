import type {CallerIdentity} from './identity.js';
import {ProblemName, type Problem} from './problem.js';
import {LifeKind, type Life} from './request-life.js';

/** The first line of an answer. */
export interface AnswerHead {
  readonly status: number;
  readonly contentType: string;
}

/** One event of a stream, or the whole body of a plain answer. */
export interface AnswerEvent {
  /** Counts from 0 within the answer. */
  readonly index: number;
  readonly data: Uint8Array;
}

/** How an answer ended: whole, or with a problem. */
export type AnswerEnd = {readonly whole: true} | {readonly problem: Problem};

const RUN_PROBLEMS: ReadonlySet<ProblemName> = new Set([
  ProblemName.FailedAfterRunning,
  ProblemName.OutcomeUnknown,
]);

/** What is fixed about an answer when its request arrives. */
export interface AnswerOptions extends CallerIdentity {
  readonly requestId: string;
  /** SHA-256 of the request's content. */
  readonly fingerprint: string;
  /** Wall clock in seconds, for the caller's eyes. */
  readonly createdSeconds: number;
}

/**
 * The answer of one request while it grows and for as long as it is kept.
 * Readers may come and go; each gets every event from where it asks, once and in
 * order.
 */
export class Answer {
  head: AnswerHead | undefined;
  end: AnswerEnd | undefined;
  bytes = 0;
  /** The request ran: its retries get this answer instead of a run. */
  keep = false;
  /** States that its request went through, for an operator's question. */
  readonly history: LifeKind[] = [LifeKind.Received];
  readonly events: AnswerEvent[] = [];
  private readonly waiting = new Set<() => void>();
  private readers = 0;
  private readonly abandonment = new AbortController();

  constructor(readonly options: AnswerOptions) {}

  /** Aborted when nobody reads the answer any more. */
  get abandoned(): AbortSignal {
    return this.abandonment.signal;
  }

  /** It ended, and what it says is of a run, so it can serve a retry. */
  get tellsOfRun(): boolean {
    const {end} = this;
    return (
      end !== undefined &&
      ('whole' in end || RUN_PROBLEMS.has(end.problem.problem))
    );
  }

  /** Number of readers now. */
  get readerCount(): number {
    return this.readers;
  }

  /** Notes the state of its request. */
  note(life: Life): void {
    this.history.push(life.kind);
  }

  /** Sets the head. */
  begin(head: AnswerHead): void {
    this.head ??= head;
    this.notify();
  }

  /** Appends an event. */
  append(data: Uint8Array): void {
    this.events.push({index: this.events.length, data});
    this.bytes += data.byteLength;
    this.notify();
  }

  /** Ends the answer; the first end counts. */
  finish(end: AnswerEnd): void {
    this.end ??= end;
    this.notify();
  }

  /** Counts a reader in; the function returned counts it out. */
  attach(onLastLeft: () => void): () => void {
    this.readers++;
    let attached = true;
    return () => {
      if (!attached) {
        return;
      }
      attached = false;
      this.readers--;
      if (this.readers === 0 && this.end === undefined) {
        onLastLeft();
      }
    };
  }

  /** Nobody came back: the work may be cancelled. */
  abandon(): void {
    this.abandonment.abort();
  }

  /** Resolves when there is more than `index` events, or an end. */
  async more(nextIndex: number, signal?: AbortSignal): Promise<void> {
    while (
      this.end === undefined &&
      this.events.length <= nextIndex &&
      signal?.aborted !== true
    ) {
      await new Promise<void>(resolve => {
        const wake = () => {
          this.waiting.delete(wake);
          signal?.removeEventListener('abort', wake);
          resolve();
        };
        this.waiting.add(wake);
        signal?.addEventListener('abort', wake, {once: true});
      });
    }
  }

  /** Events after `lastSeen`, until the answer ends or the signal is aborted. */
  async *read(
    lastSeen: number,
    signal?: AbortSignal,
  ): AsyncGenerator<AnswerEvent, void> {
    for (let next = lastSeen + 1; ; next++) {
      await this.more(next, signal);
      const event = this.events[next];
      if (event === undefined || signal?.aborted === true) {
        return;
      }
      yield event;
    }
  }

  private notify(): void {
    for (const wake of [...this.waiting]) {
      wake();
    }
  }
}
