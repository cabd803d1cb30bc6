import type {Clock} from '@wisteriadeal/platform';

import type {Answer} from './answer.js';

interface Kept {
  readonly answer: Answer;
  /** On the monotonic clock; undefined while the request runs. */
  endedAt: number | undefined;
}

/**
 * Running answers, and ended ones for callers that come back.
 *
 * Callers retry within seconds, so ended answers are kept for the configured
 * time; a burst of long answers must not take the process's memory, so the
 * oldest are dropped beyond the limit in bytes. A dropped answer costs its caller
 * the text ("answer-gone"), never a second run or bill.
 */
export class AnswerStore {
  private readonly kept = new Map<string, Kept>();
  private endedBytes = 0;

  constructor(
    private readonly clock: Clock,
    private readonly maximumBytes: number,
    private readonly maximumAge: () => number,
  ) {}

  /** Number of requests that run. */
  get running(): number {
    return [...this.kept.values()].filter(({endedAt}) => endedAt === undefined)
      .length;
  }

  /** Readers that have not read to their end. */
  get readers(): number {
    return this.answers().reduce((sum, answer) => sum + answer.readerCount, 0);
  }

  /** Bytes of ended answers. */
  get bytes(): number {
    return this.endedBytes;
  }

  /** All answers, running and kept. */
  answers(): readonly Answer[] {
    return [...this.kept.values()].map(({answer}) => answer);
  }

  /** Finds an answer. */
  find(requestId: string): Answer | undefined {
    this.dropExpired();
    return this.kept.get(requestId)?.answer;
  }

  /** Adds the answer of a request that starts. */
  add(answer: Answer): void {
    this.kept.set(answer.options.requestId, {answer, endedAt: undefined});
  }

  /** The request has ended; keep its answer for a while. */
  keep(answer: Answer): void {
    const {requestId} = answer.options;
    this.kept.delete(requestId);
    this.kept.set(requestId, {
      answer,
      endedAt: this.clock.monotonicMilliseconds(),
    });
    this.endedBytes += answer.bytes;
    this.dropExpired();
  }

  /** The request never ran: a retry starts afresh. */
  forget(answer: Answer): void {
    const {requestId} = answer.options;
    if (this.kept.get(requestId)?.answer === answer) {
      this.kept.delete(requestId);
    }
  }

  private dropExpired(): void {
    const oldest = this.clock.monotonicMilliseconds() - this.maximumAge();
    for (const [requestId, {answer, endedAt}] of this.kept) {
      if (endedAt === undefined) {
        continue;
      }
      if (endedAt > oldest && this.endedBytes <= this.maximumBytes) {
        return;
      }
      this.kept.delete(requestId);
      this.endedBytes -= answer.bytes;
    }
  }
}
