/** A request that was read, before anything dear is done for it. */
export interface ArrivedRequest {
  /** When its first byte came, as far as that is known; monotonic milliseconds. */
  readonly cameAt: number;
  /** Its answer is wanted to begin within this from its first byte, milliseconds. */
  readonly objectiveMilliseconds: number;
  /** Its caller or its route waits no longer from its first byte, milliseconds. */
  readonly limitMilliseconds: number;
}

/** What the event loop of a host does now. */
export interface LoopLoad {
  /** The loop has worked for so long without a pause, milliseconds. */
  readonly busyMilliseconds: number;
  /** Requests that were begun and whose answers have not. */
  readonly unanswered: number;
}

/** A request that is refused as not run. */
export interface RefusedArrival<Request> {
  readonly request: Request;
  /** When a new try may fare better. */
  readonly retryAfterMilliseconds: number;
}

/** What becomes of requests: each is begun or refused. */
export interface ArrivalPlan<Request> {
  readonly begun: readonly Request[];
  readonly refused: readonly RefusedArrival<Request>[];
}

/** Decides which of the requests that a host has read are begun. */
export abstract class ArrivalAdmission {
  /** The answer of a request has begun. */
  abstract answered(load: LoopLoad, now: number): void;

  /**
   * @param arrived In the order in which they were read.
   * @param now Monotonic milliseconds.
   */
  abstract plan<Request extends ArrivedRequest>(
    arrived: readonly Request[],
    load: LoopLoad,
    now: number,
  ): ArrivalPlan<Request>;
}

/** Begins all at once, in the order in which they came: the baseline. */
export class BeginAll extends ArrivalAdmission {
  override answered(): void {
    // How late it was is no matter.
  }

  override plan<Request extends ArrivedRequest>(
    arrived: readonly Request[],
  ): ArrivalPlan<Request> {
    return {begun: arrived, refused: []};
  }
}

/** A loop that has not paused for this part of an objective is behind. */
const BEHIND_PART = 0.25;
/** Callers give up an answer that is so many objectives late, whatever their limit. */
const MOST_OBJECTIVES = 8;
/** The pace is smoothed over about so many answers: many begin in the same turn. */
const SMOOTHED = 50;
/** Nobody is asked back sooner, milliseconds. */
const SHORTEST_RETURN_MILLISECONDS = 10;

/**
 * Refuses at once what a host that is behind would answer too late to be of use, at
 * the pace at which answers begin now; what is begun is never refused.
 *
 * Load: callers of a few organisations send a small host two or three times what it
 * can work off. Harm of beginning all: each turn of the loop reads all that came in
 * the one before, turns grow, and what is worked on has been given up by its caller.
 * Nothing is refused, and nobody is served.
 *
 * As many requests as are in work take that many intervals between answers (Little's
 * law), whatever the interval is made of. A loop that has paused lately is not behind,
 * and begins all: slow endpoints are no reason to refuse.
 *
 * What would only be late is begun. Load: a little more than the host can work off.
 * Harm of refusing it: reading, refusing and the caller's further try on a connection
 * of its own take about half of what serving takes, so that each refusal makes others,
 * and fewer are served than without.
 */
export class BeginWithinLimit extends ArrivalAdmission {
  private intervalMilliseconds = 0;
  private answers = 0;
  private answeredAt = -Infinity;

  override answered({busyMilliseconds}: LoopLoad, now: number): void {
    const interval = now - this.answeredAt;
    this.answeredAt = now;
    // The pace is the host's own only while it is at work all the time.
    if (interval < busyMilliseconds) {
      this.answers = Math.min(SMOOTHED, this.answers + 1);
      this.intervalMilliseconds +=
        (interval - this.intervalMilliseconds) / this.answers;
    }
  }

  override plan<Request extends ArrivedRequest>(
    arrived: readonly Request[],
    load: LoopLoad,
    now: number,
  ): ArrivalPlan<Request> {
    const begun: Request[] = [];
    const refused: RefusedArrival<Request>[] = [];
    for (const request of arrived) {
      const inWork = load.unanswered + begun.length;
      const ahead = inWork * this.intervalMilliseconds;
      const isTooLate = now + ahead - request.cameAt > longestUseful(request);
      if (inWork > 0 && isTooLate && isBehind(request, load)) {
        refused.push({
          request,
          retryAfterMilliseconds: Math.max(SHORTEST_RETURN_MILLISECONDS, ahead),
        });
      } else {
        begun.push(request);
      }
    }
    return {begun, refused};
  }
}

/** From its first byte on, milliseconds. */
function longestUseful({
  objectiveMilliseconds,
  limitMilliseconds,
}: ArrivedRequest): number {
  return Math.min(limitMilliseconds, objectiveMilliseconds * MOST_OBJECTIVES);
}

function isBehind(
  {objectiveMilliseconds}: ArrivedRequest,
  {busyMilliseconds}: LoopLoad,
): boolean {
  return busyMilliseconds > objectiveMilliseconds * BEHIND_PART;
}
