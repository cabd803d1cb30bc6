import {RefusalReason, type RefuseDecision} from '@wisteriadeal/decisions';
import {BeginVerdict, Outcome, type BeginAnswer} from '@wisteriadeal/schema';

import {AnswerOutcome, Problem, ProblemName} from './problem.js';
import type {RunOutcome} from './request-state.js';
import type {Submission} from './submission.js';

/** Returns the problem for a holder's verdict that does not permit a run. */
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
        detail: 'the Idempotency-Key was already used with different content',
        step,
        peer,
      });
    case BeginVerdict.ANSWER_GONE:
      return answerGoneProblem(peer);
    default:
      return new Problem(ProblemName.OutcomeUnknown, {
        detail:
          answer.reason === ''
            ? 'the request was dispatched, its router was lost, and it must not run again'
            : answer.reason,
        step,
        peer,
      });
  }
}

/** Returns the problem for a request that was not placed at an endpoint. */
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

/** Returns the problem for a request whose answer is no longer kept. */
export function answerGoneProblem(peer: string): Problem {
  return new Problem(ProblemName.AnswerGone, {
    detail: 'the request was answered and billed; its answer is no longer kept',
    step: 'begin at the holder',
    peer,
  });
}

/** Returns the problem for a caller that disconnected before dispatch. */
export function withdrawnProblem(): Problem {
  return new Problem(ProblemName.Overloaded, {
    detail: 'the caller disconnected before the request was dispatched',
    step: 'place',
  });
}

/** Returns the refusal of a call whose claim may no longer be valid. */
export function claimExpiredProblem(): Problem {
  return new Problem(ProblemName.Unavailable, {
    detail: 'the claim may have expired; send the request again',
    step: 'dispatch',
    retryAfterMilliseconds: 0,
  });
}

/** Returns the refusal of a router that is draining. */
export function drainingProblem(): Problem {
  return new Problem(ProblemName.Draining, {
    detail: 'this entry host is leaving; another one takes the request',
    retryAfterMilliseconds: 0,
  });
}

/** Returns the outcome to record in a bill. */
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
