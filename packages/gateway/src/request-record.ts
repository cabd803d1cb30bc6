/** One endpoint that a request was sent to, for its log line. */
export interface AttemptRecord {
  readonly endpoint: string;
  readonly atMilliseconds: number;
  readonly result: string;
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

  /** Tokens used: input once, and the output that was delivered. */
  usedTokens(
    promptTokens: number,
    maximumOutputTokens: number,
    tokensPerEvent: number | undefined,
  ): number {
    if (!this.mayHaveRun) {
      return 0;
    }
    const output = this.eventsDelivered * (tokensPerEvent ?? 0);
    return promptTokens + Math.min(output, maximumOutputTokens);
  }
}
