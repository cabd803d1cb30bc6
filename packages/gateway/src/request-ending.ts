import type {Dialect} from './dialect.js';
import type {AnswerHead} from './endpoint-exchange.js';
import {failed, notRun, OwnReason, type OwnAnswer} from './own-answer.js';
import type {RequestContext} from './request-context.js';
import type {RequestRecord} from './request-record.js';
import {BudgetRefusal} from './token-waiters.js';

/** An endpoint's answer that was read to its end. */
export interface WholeAnswer {
  readonly head: AnswerHead;
  readonly body: Buffer;
  readonly hasLength: boolean;
}

/** A service without a free endpoint is worth asking again after this long. */
const RETRY_AFTER_MILLISECONDS = 300;

/** Gives a request its final answer, once no endpoint is tried any more. */
export class RequestEnding {
  /** A whole answer of an endpoint, passed on if nothing better comes. */
  private fallback: WholeAnswer | undefined;

  constructor(
    private readonly dialect: Dialect,
    private readonly context: RequestContext,
    private readonly record: RequestRecord,
  ) {}

  /** Keeps a whole answer, in place of one before it. */
  keep(answer: WholeAnswer): void {
    this.fallback = answer;
  }

  /**
   * Ends the request with what there is: an endpoint's own failure before an answer of
   * the system's.
   *
   * @param hasTimedOut Whether the caller's or the route's time is over.
   */
  giveUp(reason: OwnReason, hasTimedOut: boolean): void {
    const {caller} = this.context;
    if (caller.leaving.aborted) {
      this.record.outcome = 'caller-left';
    } else if (caller.isAnswering) {
      caller.breakOff();
      this.record.outcome = `cut: ${reason}`;
    } else if (this.fallback !== undefined) {
      this.passOn(this.fallback);
    } else {
      this.answerOwn(this.ownAnswer(reason, hasTimedOut));
    }
  }

  /** It has run, and nothing of its answer may be passed on. */
  refuseForBudget(refusal: BudgetRefusal, hasTimedOut: boolean): void {
    if (refusal === BudgetRefusal.Exhausted) {
      this.answerOwn(failed(402, OwnReason.BudgetExhausted));
    } else {
      this.giveUp(OwnReason.BudgetUnavailable, hasTimedOut);
    }
  }

  private ownAnswer(reason: OwnReason, hasTimedOut: boolean): OwnAnswer {
    if (!this.record.mayHaveRun) {
      return notRun(reason, RETRY_AFTER_MILLISECONDS);
    }
    return hasTimedOut ? failed(504, OwnReason.TimedOut) : failed(502, reason);
  }

  private answerOwn(answer: OwnAnswer): void {
    this.context.caller.answerOwn(answer);
    this.record.status = answer.status;
    this.record.outcome = `own: ${answer.reason}`;
  }

  private passOn({head, body, hasLength}: WholeAnswer): void {
    const {caller} = this.context;
    const headers = this.dialect.answerHeaders(head.rawHeaders);
    if (hasLength) {
      caller.answer(head.status, headers, body);
    } else {
      caller.answerUntilClose(head.status, headers, body);
    }
    this.record.hasDelivered = true;
    this.record.status = head.status;
    this.record.outcome = 'answered';
  }
}
