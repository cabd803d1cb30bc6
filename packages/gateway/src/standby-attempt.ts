import {NetworkTimeout} from '@wisteriadeal/platform';

import type {EndpointAttempt} from './endpoint-attempt.js';
import {
  ConnectionOrigin,
  isFailure,
  type AnswerHead,
  type ExchangeFailure,
} from './endpoint-exchange.js';

/** An attempt that was sent, with what must be ended with it. */
export interface OpenAttempt {
  readonly attempt: EndpointAttempt;
  /** Resolves with the head of the endpoint's answer, or with the failure. */
  readonly head: Promise<AnswerHead | ExchangeFailure>;
  /** Ends the bookkeeping of the attempt; must be called exactly once. */
  close(): void;
}

/**
 * Longest time for which two endpoints may work on one request, milliseconds. One that
 * has accepted it, and neither refused nor failed it by then, takes it over, if the request
 * may return.
 */
const MAXIMUM_OVERLAP_MILLISECONDS = 250;
const OVERLAP_POLL_MILLISECONDS = 50;

/** What a standby needs of its request. */
export interface StandbyParts {
  /**
   * Sends the request to another endpoint, to go on after what was delivered;
   * undefined if it may not.
   */
  begin(): OpenAttempt | undefined;
  /**
   * Whether the request may still go on at the other endpoint.
   *
   * @param head The head of its answer; undefined if it has not come, so that the request
   *     may have to return.
   */
  mayTakeOver(head: AnswerHead | undefined): boolean;
  /** Resolves with whether the answer may be passed on after what was delivered. */
  mayPassOn(attempt: EndpointAttempt, head: AnswerHead): Promise<boolean>;
  /** Resolves with whether the answer goes on with what was delivered. */
  goesOn(attempt: EndpointAttempt, head: AnswerHead): Promise<boolean>;
  /**
   * Records that a standby didn't take over.
   *
   * @returns Whether another one should begin at once.
   */
  failed(attempt: EndpointAttempt, head: AnswerHead | ExchangeFailure): boolean;
  /** Records that a standby took the request over from a silent attempt. */
  tookOver(silent: EndpointAttempt): void;
  /** Records that a standby was cancelled. */
  cancelled(attempt: EndpointAttempt, reason: string): void;
}

/**
 * Holds a second attempt of a request whose endpoint is silent. The silent one is
 * cancelled only once the other endpoint's answer goes on with what was delivered, or it
 * works on the request; until then it may go on, and cancels the standby by that.
 *
 * @example
 *   if (!standby.begin(silentAttempt)) {
 *     // The stream stays where it is.
 *   }
 */
export class StandbyAttempt {
  private waiting: OpenAttempt | undefined;
  private promoted: OpenAttempt | undefined;
  private head: AnswerHead | undefined;
  private overlap: NetworkTimeout | undefined;

  constructor(private readonly parts: StandbyParts) {}

  /**
   * Begins a standby for a silent attempt, unless there is one.
   *
   * @returns Whether there is a standby now.
   */
  begin(silent: EndpointAttempt): boolean {
    if (this.waiting !== undefined || this.promoted !== undefined) {
      return true;
    }
    const standby = this.parts.begin();
    if (standby === undefined) {
      return false;
    }
    this.waiting = standby;
    this.limitOverlap(standby, silent);
    void this.follow(standby, silent);
    return true;
  }

  /**
   * Makes the standby the next attempt, because the silent one has ended.
   *
   * @returns Whether there is one.
   */
  promote(): boolean {
    this.promoted ??= this.waiting;
    this.stopWaiting();
    return this.promoted !== undefined;
  }

  /** Hands the promoted standby over to the caller, who closes it. */
  take(): OpenAttempt | undefined {
    const {promoted} = this;
    this.promoted = undefined;
    return promoted;
  }

  /** Cancels the standby, if there is one. */
  cancel(reason: string): void {
    const standby = this.waiting ?? this.promoted;
    this.stopWaiting();
    this.promoted = undefined;
    if (standby !== undefined) {
      standby.attempt.exchange.cancel(reason);
      this.parts.cancelled(standby.attempt, reason);
      standby.close();
    }
  }

  /** Cancels what is left when the request has ended. */
  close(): void {
    this.cancel('request ended');
  }

  private async follow(
    standby: OpenAttempt,
    silent: EndpointAttempt,
  ): Promise<void> {
    const {attempt} = standby;
    const head = await standby.head;
    if (this.waiting === standby && !isFailure(head)) {
      this.head = head;
    }
    const takesOver = !isFailure(head) && (await this.goesOn(standby, head));
    if (this.waiting !== standby) {
      return;
    }
    if (takesOver) {
      this.takeOver(silent);
      return;
    }
    this.stopWaiting();
    if (!isFailure(head)) {
      attempt.exchange.cancel('not taken over');
    }
    const isNextDue = this.parts.failed(attempt, head);
    standby.close();
    if (!isNextDue || !this.begin(silent)) {
      silent.monitor.restart();
    }
  }

  private async goesOn(
    standby: OpenAttempt,
    head: AnswerHead,
  ): Promise<boolean> {
    const {parts} = this;
    const {attempt} = standby;
    // One that was promoted meanwhile is read by the request itself.
    return (
      this.waiting === standby &&
      (await parts.mayPassOn(attempt, head)) &&
      this.waiting === standby &&
      (await parts.goesOn(attempt, head))
    );
  }

  private takeOver(silent: EndpointAttempt): void {
    if (this.parts.mayTakeOver(this.head)) {
      this.promote();
      this.parts.tookOver(silent);
      silent.exchange.cancel('silent');
    } else {
      this.cancel('may not be sent again');
    }
  }

  /** The time runs from the moment at which the request may have been sent. */
  private limitOverlap(
    {attempt: {exchange}}: OpenAttempt,
    silent: EndpointAttempt,
  ): void {
    let notSentUntil = performance.now();
    const overlap = new NetworkTimeout(OVERLAP_POLL_MILLISECONDS, () => {
      const now = performance.now();
      if (exchange.connectionOrigin === ConnectionOrigin.None) {
        notSentUntil = now;
      }
      if (now - notSentUntil < MAXIMUM_OVERLAP_MILLISECONDS) {
        overlap.refresh();
      } else {
        this.takeOver(silent);
      }
    });
    this.overlap = overlap;
  }

  private stopWaiting(): void {
    this.overlap?.close();
    this.overlap = undefined;
    this.waiting = undefined;
    this.head = undefined;
  }
}
