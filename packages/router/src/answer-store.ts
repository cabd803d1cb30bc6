import type {Clock} from '@wisteriadeal/platform';

import type {Answer} from './answer.js';

interface StoredAnswer {
  readonly answer: Answer;
  /** Monotonic time in milliseconds; undefined while the request runs. */
  endedAt: number | undefined;
}

/**
 * Stores the answers of running requests, and ended answers for retries.
 *
 * Callers retry within seconds, so ended answers are kept for the configured
 * time. To bound memory in a burst of long answers, the oldest ended answers are
 * dropped once their total size exceeds the byte limit. A retry of a dropped
 * answer gets `answer-gone`; it never causes a second run or bill.
 */
export class AnswerStore {
  private readonly stored = new Map<string, StoredAnswer>();
  private endedBytes = 0;

  constructor(
    private readonly clock: Clock,
    private readonly maximumBytes: number,
    private readonly maximumAgeMilliseconds: () => number,
  ) {}

  /** Number of running requests. */
  get running(): number {
    return [...this.stored.values()].filter(
      ({endedAt}) => endedAt === undefined,
    ).length;
  }

  /** Number of readers attached to stored answers. */
  get readers(): number {
    return this.answers().reduce((sum, answer) => sum + answer.readerCount, 0);
  }

  /** Total size of the ended answers in bytes. */
  get bytes(): number {
    return this.endedBytes;
  }

  /** All stored answers, running and ended. */
  answers(): readonly Answer[] {
    return [...this.stored.values()].map(({answer}) => answer);
  }

  /** Finds the answer of a request. */
  find(requestId: string): Answer | undefined {
    this.dropExpired();
    return this.stored.get(requestId)?.answer;
  }

  /** Adds the answer of a request that is starting. */
  add(answer: Answer): void {
    this.stored.set(answer.options.requestId, {answer, endedAt: undefined});
  }

  /** Keeps the answer of an ended request up to the age and byte limits. */
  markEnded(answer: Answer): void {
    const {requestId} = answer.options;
    this.stored.delete(requestId);
    this.stored.set(requestId, {
      answer,
      endedAt: this.clock.monotonicMilliseconds(),
    });
    this.endedBytes += answer.bytes;
    this.dropExpired();
  }

  /** Removes the answer of a request that did not run, so a retry can run. */
  remove(answer: Answer): void {
    const {requestId} = answer.options;
    if (this.stored.get(requestId)?.answer === answer) {
      this.stored.delete(requestId);
    }
  }

  private dropExpired(): void {
    const expiryThreshold =
      this.clock.monotonicMilliseconds() - this.maximumAgeMilliseconds();
    for (const [requestId, {answer, endedAt}] of this.stored) {
      if (endedAt === undefined) {
        continue;
      }
      if (endedAt > expiryThreshold && this.endedBytes <= this.maximumBytes) {
        return;
      }
      this.stored.delete(requestId);
      this.endedBytes -= answer.bytes;
    }
  }
}
