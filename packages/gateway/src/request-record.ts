/** One endpoint that a request was sent to, for its log line. */
export interface AttemptRecord {
  readonly endpoint: string;
  readonly atMilliseconds: number;
  readonly result: string;
}

/** What a request costs that may have run and of which nothing was delivered. */
export enum UndeliveredCharge {
  /** Its organisation got nothing, and pays nothing. */
  Nothing = 'nothing',
  /** Its prompt, as the endpoint may have read it. */
  Prompt = 'prompt',
}

/** What became of a request, for its log line, metrics and bill. */
export class RequestRecord {
  readonly attempts: AttemptRecord[] = [];
  /** True from the first dispatch on that may have reached an endpoint. */
  mayHaveRun = false;
  /** Whole events that were passed on. */
  eventsDelivered = 0;
  /** Identifier of the last event passed on. */
  lastEventId: string | undefined;
  outcome = 'open';
  status = 0;
  endpoint = '';
  organisation: string | undefined;
  /** Tokens charged in the end. */
  used = 0;
  /** How long an answer that was ready waited for its tokens, milliseconds. */
  waitedForTokens = 0;

  /** True once a part of an endpoint's answer was given to the caller. */
  hasDelivered = false;
  /** When the first event was passed on; undefined before, milliseconds. */
  firstEventAt: number | undefined;
  /** The longest time between two events that were passed on, milliseconds. */
  longestPause = 0;
  private lastEventAt = 0;

  /** An event is passed on. */
  eventPassed(now: number): void {
    this.eventsDelivered++;
    this.hasDelivered = true;
    if (this.firstEventAt === undefined) {
      this.firstEventAt = now;
    } else {
      this.longestPause = Math.max(this.longestPause, now - this.lastEventAt);
    }
    this.lastEventAt = now;
  }

  /** Whole tokens used: input once, and the output that was delivered. */
  usedTokens(
    promptTokens: number,
    maximumOutputTokens: number,
    tokensPerEvent: number | undefined,
    charge: UndeliveredCharge,
  ): number {
    const isCharged =
      this.hasDelivered ||
      (charge === UndeliveredCharge.Prompt && this.mayHaveRun);
    if (!isCharged) {
      return 0;
    }
    const output = Math.ceil(this.eventsDelivered * (tokensPerEvent ?? 0));
    return promptTokens + Math.min(output, maximumOutputTokens);
  }
}
