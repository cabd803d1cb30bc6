import {StatedNumber, StatedRest} from '@wisteriadeal/decisions';

/** An answer that said that its endpoint leaves. */
export interface LeavingAnswer {
  /** When the request was sent, on the monotonic clock, milliseconds. */
  readonly sentAt: number;
  /** When the answer came, milliseconds since 1970. */
  readonly timeOfDay: number;
}

/**
 * What one start of an endpoint has said of itself in its answers, as far as it still
 * holds.
 */
export class StatedConditions {
  /** Requests a second that it takes from all hosts together. */
  readonly limit = new StatedNumber();
  /** Refusals for want of room in a second after which it falls over. */
  readonly brittleness = new StatedNumber();
  /**
   * Whether it is about to leave. That holds to its end: the list may still have it as
   * it was, and answers that it began before come later.
   */
  isLeaving = false;
  /** The latest answer that said so. */
  leavingAnswer: LeavingAnswer | undefined;
  /**
   * When this start was taken for the one that said so, though it may have been the one
   * before; monotonic clock, milliseconds.
   */
  assumedLeavingAt: number | undefined;
  /** The rest that it asked this host for. */
  readonly rest = new StatedRest();
  /** Names of headers that had a value which is not valid. */
  readonly ignoredHeaders = new Set<string>();
}
