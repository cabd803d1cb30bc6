import {RefusalReason, type RefuseDecision} from '@wisteriadeal/decisions';
import {BeginVerdict, Outcome, type BeginAnswer} from '@wisteriadeal/schema';

import {AnswerOutcome, Problem, ProblemName} from './problem.js';
import type {RunOutcome} from './request-life.js';
import type {Submission} from './submission.js';

/** The problem of a holder's verdict that is no leave to run. */
export function problemOfVerdict(answer: BeginAnswer): Problem {
  const step = 'begin at the holder';
  const peer = answer.holder;
  const retry =
    answer.retryAfterMilliseconds > 0
      ? {retryAfterMilliseconds: answer.retryAfterMilliseconds}
      : {};
  switch (answer.verdict) {
    case BeginVerdict.BUDGET:
      return new Problem(ProblemName.BudgetExhausted, {
        detail: `the budget in reach (${answer.availableTokens} tokens) does not cover the request`,
        step,
        peer,
        ...retry,
      });
    case BeginVerdict.CONFLICT:
      return new Problem(ProblemName.KeyReused, {
        detail: 'the same Idempotency-Key came with other content',
        step,
        peer,
      });
    case BeginVerdict.ANSWER_GONE:
      return answerGoneProblem(peer);
    default:
      return new Problem(ProblemName.OutcomeUnknown, {
        detail:
          answer.reason === ''
            ? 'it was dispatched, its router was lost, and it may not run again'
            : answer.reason,
        step,
        peer,
      });
  }
}

/** The problem of work that got no endpoint. */
export function problemOfRefusal(
  refusal: RefuseDecision | 'withdrawn',
  submission: Submission,
): Problem {
  const step = 'place';
  const peer = submission.service;
  if (refusal === 'withdrawn') {
    return withdrawnProblem();
  }
  const {reason, retryAfterMilliseconds} = refusal;
  return new Problem(
    reason === RefusalReason.NoEndpoint
      ? ProblemName.Unavailable
      : ProblemName.Overloaded,
    {detail: reason, step, peer, retryAfterMilliseconds},
  );
}

/** The problem of a request whose answer no router keeps any more. */
export function answerGoneProblem(peer: string): Problem {
  return new Problem(ProblemName.AnswerGone, {
    detail: 'it was answered and billed; the answer is no longer kept',
    step: 'begin at the holder',
    peer,
  });
}

/** What is noted of a request whose caller left before it was dispatched. */
export function withdrawnProblem(): Problem {
  return new Problem(ProblemName.Overloaded, {
    detail: 'the caller hung up before the request was dispatched',
    step: 'place',
  });
}

/** The refusal of a call whose claim may have been given up meanwhile. */
export function claimLostProblem(): Problem {
  return new Problem(ProblemName.Unavailable, {
    detail: 'the claim came too late to be relied upon; send it again',
    step: 'dispatch',
    retryAfterMilliseconds: 0,
  });
}

/** The refusal of a router that leaves. */
export function drainingProblem(): Problem {
  return new Problem(ProblemName.Draining, {
    detail: 'this entry host is leaving; another one takes the request',
    retryAfterMilliseconds: 0,
  });
}

/** The outcome that a bill records. */
export function billOutcome(outcome: RunOutcome, cancelled: boolean): Outcome {
  if (cancelled) {
    return Outcome.CANCELLED;
  }
  switch (outcome) {
    case AnswerOutcome.Answered:
      return Outcome.ANSWERED;
    case AnswerOutcome.Failed:
      return Outcome.FAILED_AFTER_RUNNING;
    case AnswerOutcome.Unknown:
      return Outcome.UNKNOWN;
  }
}
