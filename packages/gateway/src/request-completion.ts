import type {Dialect} from './dialect.js';
import {AnswerFraming, type AnswerHead} from './endpoint-exchange.js';
import {
  failureReply,
  notExecutedReply,
  LocalReplyReason,
  type LocalReply,
} from './local-reply.js';
import type {HeldBytes} from './input-memory/index.js';
import type {RequestContext} from './request-context.js';
import type {RequestRecord} from './request-record.js';
import {BudgetRefusal} from './token-waiters.js';

/** An endpoint's answer with its complete body. */
export interface BufferedAnswer {
  readonly head: AnswerHead;
  readonly body: Buffer;
  readonly framing: AnswerFraming;
  /** Counts the body for as long as it is kept. */
  readonly held: HeldBytes | undefined;
}

/** Retry delay given to callers of a service that has no usable endpoint. */
const RETRY_AFTER_MILLISECONDS = 300;

/** Sends a request's final answer once no further endpoint is tried. */
export class RequestCompletion {
  /**
   * An endpoint's complete answer, sent if no later attempt gives a better one.
   */
  private fallback: BufferedAnswer | undefined;

  constructor(
    private readonly dialect: Dialect,
    private readonly context: RequestContext,
    private readonly record: RequestRecord,
  ) {}

  /** Sets the fallback answer, replacing any earlier one. */
  setFallback(answer: BufferedAnswer): void {
    this.close();
    this.fallback = answer;
  }

  /** Closes the account of an answer that is kept; called when the request has ended. */
  close(): void {
    this.fallback?.held?.close();
  }

  /**
   * Ends the request. A failure that an endpoint answered takes precedence over
   * a local reply.
   *
   * @param hasTimedOut Whether the caller's or the route's time limit has
   *     passed.
   * @param retryAfterMilliseconds When the caller should come back if the request has
   *     not run.
   */
  giveUp(
    reason: LocalReplyReason,
    hasTimedOut: boolean,
    retryAfterMilliseconds = RETRY_AFTER_MILLISECONDS,
  ): void {
    const {caller} = this.context;
    if (caller.disconnectSignal.aborted) {
      this.record.outcome = 'caller-left';
    } else if (caller.isAnswering) {
      caller.destroyConnection();
      this.record.outcome = `cut: ${reason}`;
    } else if (this.fallback !== undefined) {
      this.forwardAnswer(this.fallback);
    } else {
      this.sendLocalReply(
        this.localReply(reason, hasTimedOut, retryAfterMilliseconds),
      );
    }
  }

  /** Ends a request that was not sent to any endpoint. */
  refuse(reply: LocalReply): void {
    this.sendLocalReply(reply);
  }

  /**
   * Ends a request that has run but whose answer must not be delivered, because
   * its tokens were refused.
   */
  refuseForBudget(refusal: BudgetRefusal, hasTimedOut: boolean): void {
    if (refusal === BudgetRefusal.Exhausted) {
      this.sendLocalReply(failureReply(402, LocalReplyReason.BudgetExhausted));
    } else {
      this.giveUp(LocalReplyReason.BudgetUnavailable, hasTimedOut);
    }
  }

  private localReply(
    reason: LocalReplyReason,
    hasTimedOut: boolean,
    retryAfterMilliseconds: number,
  ): LocalReply {
    if (!this.record.mayHaveRun) {
      return notExecutedReply(reason, retryAfterMilliseconds);
    }
    return hasTimedOut
      ? failureReply(504, LocalReplyReason.TimedOut)
      : failureReply(502, reason);
  }

  private sendLocalReply(reply: LocalReply): void {
    this.context.caller.sendLocalReply(reply);
    this.record.status = reply.status;
    this.record.outcome = `own: ${reply.reason}`;
  }

  private forwardAnswer({head, body, framing, held}: BufferedAnswer): void {
    const {caller} = this.context;
    // The caller's exchange counts what is not sent at once.
    held?.close();
    const headers = this.dialect.answerHeaders(head.rawHeaders);
    if (framing === AnswerFraming.Length || framing === AnswerFraming.Chunked) {
      caller.answer(head.status, headers, body);
    } else {
      caller.answerUntilClose(head.status, headers, body);
    }
    this.record.hasDelivered = true;
    this.record.status = head.status;
    this.record.outcome = 'answered';
  }
}
