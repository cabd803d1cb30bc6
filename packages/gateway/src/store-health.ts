import type {EventLog} from '@wisteriadeal/runtime';

/**
 * Whether one topic of the store answers, as this host sees it. Load: the store is
 * down for some of its partitions only. Harm of one state for all topics: it changes
 * with every answer, and requests are refused for budget although the budgets' topic
 * answers.
 */
export class StoreHealth {
  private lastAnswerAt: number | undefined;
  private failingSince: number | undefined;
  private lastOutageEndedAt = -Infinity;

  /** @param topic What is followed, for logs. */
  constructor(
    private readonly topic: string,
    private readonly events: EventLog,
  ) {}

  /** True while the newest calls fail. */
  get isAway(): boolean {
    return this.failingSince !== undefined;
  }

  /** How long ago an outage ended; 0 during one, milliseconds. */
  sinceOutage(now: number): number {
    return this.isAway ? 0 : now - this.lastOutageEndedAt;
  }

  /** How long the calls have failed; 0 while they don't, milliseconds. */
  awayFor(now: number): number {
    return this.failingSince === undefined ? 0 : now - this.failingSince;
  }

  /** Age of the newest answer, milliseconds. */
  answerAge(now: number): number {
    return this.lastAnswerAt === undefined ? Infinity : now - this.lastAnswerAt;
  }

  /** A call was answered. */
  answered(now: number): void {
    if (this.failingSince !== undefined) {
      this.events.info('store regained', {
        topic: this.topic,
        awayMilliseconds: Math.round(now - this.failingSince),
      });
      this.failingSince = undefined;
      this.lastOutageEndedAt = now;
    }
    this.lastAnswerAt = now;
  }

  /** A call was not answered, or refused. */
  failed(now: number, error: unknown): void {
    if (this.failingSince === undefined) {
      this.failingSince = now;
      this.events.warn('store lost', {
        topic: this.topic,
        reason: String(error),
      });
    }
  }
}
