import {admittedShare} from './admitted-share.js';
import {BeginDelays, type BeginDelay} from './begin-delays.js';
import {
  AdmissionVerdict,
  EngineAdmission,
  type AdmissionBelief,
  type AdmissionDecision,
  type AdmissionRequest,
  type DecidedRequest,
  type SentRequest,
} from './engine-admission.js';
import {FairShares} from './fair-shares.js';
import {retryDelay} from './retry-delay.js';

interface QueuedRequest<Request> {
  readonly request: Request;
  /** When it is refused, on the monotonic clock in milliseconds. */
  readonly until: number;
}

/** What is known of the requests of one priority. */
interface PriorityState<Request> {
  readonly delays: BeginDelays;
  readonly shares: FairShares;
  queue: QueuedRequest<Request>[];
  /** Requests that may be sent, of which fractions add up. */
  credit: number;
  /** Moving average of the part that was sent, 0 to 1. */
  sentShare: number;
  /** Part that was sent at the latest decision, 0 to 1. */
  admittedShare: number;
  decidedAt: number;
}

/** Credit that unsent fractions add up to at most, so that quiet times are no store. */
const MAXIMUM_CREDIT = 1.5;
/** A request is queued for at most this part of its objective. */
const QUEUED_OBJECTIVE_SHARE = 0.25;
/** Approximate number of decisions in the average of what was sent. */
const SENT_WINDOW = 16;
/** A decision on more urgent requests counts for as long, in milliseconds. */
const DECISION_MILLISECONDS = 1_000;

/**
 * Sends a share of the requests of each priority that falls as their expected time to
 * begin approaches the objective. Answers more less urgent requests than the engines
 * can begin in time: the rest is refused at once. What is ahead of a request is only
 * the work of its priority and of more urgent ones, so each priority has observations
 * of its own. Without observations everything is sent.
 *
 * @example
 * ```ts
 * const admission = new ShareAdmission<AdmissionRequest>(() => random.fraction());
 * const {verdict} = admission.offer(request, now);
 * ```
 */
export class ShareAdmission<
  Request extends AdmissionRequest,
> extends EngineAdmission<Request> {
  private readonly states = new Map<number, PriorityState<Request>>();

  /** @param fraction Random number from 0 to below 1. */
  constructor(private readonly fraction: () => number) {
    super();
  }

  override offer(request: Request, now: number): AdmissionDecision {
    const state = this.stateOf(request.priority);
    state.shares.arrived(request, now);
    const delay = state.delays.expect(request.objectiveMilliseconds, now);
    const share = this.shareOf(request, delay, now);
    state.admittedShare = share;
    state.decidedAt = now;
    const belief = beliefOf(share, delay);
    if (share >= 1) {
      return this.decide(request, AdmissionVerdict.Send, belief, now);
    }
    state.credit = Math.min(
      MAXIMUM_CREDIT,
      state.credit + state.shares.shareOf(request, share, now),
    );
    const mayPass = state.queue.every(({request: other}) =>
      precedes(request, other),
    );
    if (share > 0 && state.credit >= 1 && mayPass) {
      state.credit--;
      return this.decide(request, AdmissionVerdict.Send, belief, now);
    }
    const until = this.queuedUntil(request, state, belief, now);
    if (until === undefined) {
      return this.decide(request, AdmissionVerdict.Refuse, belief, now);
    }
    state.queue.push({request, until});
    return {verdict: AdmissionVerdict.Queue, retryAfterMilliseconds: 0, belief};
  }

  override advance(now: number): readonly DecidedRequest<Request>[] {
    const decided: DecidedRequest<Request>[] = [];
    for (const state of this.states.values()) {
      if (state.queue.length > 0) {
        this.advanceQueue(state, now, decided);
      }
    }
    return decided;
  }

  override remove(request: Request): void {
    const state = this.stateOf(request.priority);
    state.queue = state.queue.filter(queued => queued.request !== request);
  }

  override sent(request: SentRequest): void {
    this.stateOf(request.priority).delays.sent(request);
  }

  override began(request: SentRequest, now: number): void {
    this.stateOf(request.priority).delays.began(request, now);
  }

  override refused(request: SentRequest, now: number): void {
    this.stateOf(request.priority).delays.refused(request, now);
  }

  override ended(request: SentRequest): void {
    this.stateOf(request.priority).delays.ended(request);
  }

  private advanceQueue(
    state: PriorityState<Request>,
    now: number,
    decided: DecidedRequest<Request>[],
  ): void {
    const ordered = [...state.queue].sort((one, other) =>
      precedes(one.request, other.request) ? -1 : 1,
    );
    state.queue = [];
    for (const queued of ordered) {
      const {request, until} = queued;
      const {objectiveMilliseconds} = request;
      const delay = state.delays.expect(objectiveMilliseconds, now);
      const share = this.shareOf(request, delay, now);
      const belief = beliefOf(share, delay);
      if (share >= 1 || (share > 0 && state.credit >= 1)) {
        state.credit = share >= 1 ? state.credit : state.credit - 1;
        const verdict = AdmissionVerdict.Send;
        decided.push({
          request,
          decision: this.decide(request, verdict, belief, now),
        });
      } else if (now >= until) {
        const verdict = AdmissionVerdict.Refuse;
        decided.push({
          request,
          decision: this.decide(request, verdict, belief, now),
        });
      } else {
        state.queue.push(queued);
      }
    }
  }

  /** Until when a request may wait for credit; undefined if it is to be refused. */
  private queuedUntil(
    request: Request,
    {queue, credit}: PriorityState<Request>,
    {admittedShare: share, expectedMilliseconds}: AdmissionBelief,
    now: number,
  ): number | undefined {
    if (share <= 0 || queue.length > 0 || credit + share < 1) {
      return undefined;
    }
    const until = Math.min(
      request.dueAt - expectedMilliseconds,
      now + QUEUED_OBJECTIVE_SHARE * request.objectiveMilliseconds,
    );
    return until > now ? until : undefined;
  }

  /**
   * The part of the requests of a priority that is sent: no more than of any more
   * urgent ones, unless they are the most urgent ones of their organisations.
   */
  private shareOf(request: Request, delay: BeginDelay, now: number): number {
    const {priority, objectiveMilliseconds, isMostUrgent} = request;
    let share = admittedShare(delay, objectiveMilliseconds, isMostUrgent);
    if (isMostUrgent) {
      return share;
    }
    for (const [other, state] of this.states) {
      if (other < priority && now - state.decidedAt < DECISION_MILLISECONDS) {
        share = Math.min(share, state.admittedShare);
      }
    }
    return share;
  }

  private decide(
    request: Request,
    verdict: AdmissionVerdict,
    belief: AdmissionBelief,
    now: number,
  ): AdmissionDecision {
    const state = this.stateOf(request.priority);
    const isSent = verdict === AdmissionVerdict.Send;
    state.sentShare += ((isSent ? 1 : 0) - state.sentShare) / SENT_WINDOW;
    const {expectedMilliseconds} = belief;
    const {objectiveMilliseconds, deadlineAt} = request;
    return {
      verdict,
      retryAfterMilliseconds: isSent
        ? 0
        : retryDelay(
            {
              expectedMilliseconds,
              objectiveMilliseconds,
              sentShare: state.sentShare,
              remainingMilliseconds: deadlineAt - now,
            },
            this.fraction(),
          ),
      belief,
    };
  }

  private stateOf(priority: number): PriorityState<Request> {
    let state = this.states.get(priority);
    if (state === undefined) {
      state = {
        delays: new BeginDelays(),
        shares: new FairShares(),
        queue: [],
        credit: this.fraction(),
        sentShare: 1,
        admittedShare: 1,
        decidedAt: -Infinity,
      };
      this.states.set(priority, state);
    }
    return state;
  }
}

/** Whether one request comes before another of its priority. */
function precedes(one: AdmissionRequest, other: AdmissionRequest): boolean {
  return one.isReturning === other.isReturning
    ? one.dueAt < other.dueAt
    : one.isReturning;
}

function beliefOf(share: number, delay: BeginDelay): AdmissionBelief {
  const {milliseconds, observations, ageMilliseconds} = delay;
  return {
    admittedShare: share,
    expectedMilliseconds: milliseconds,
    observations,
    ageMilliseconds,
  };
}
