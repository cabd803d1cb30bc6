/** A request that has been read, before any expensive work is done for it. */
export interface ArrivedRequest {
  /**
   * When its first byte arrived, as far as the host can determine, in
   * milliseconds of the monotonic clock.
   */
  readonly receivedAt: number;
  /**
   * Target time from the first byte to the start of the answer, in
   * milliseconds.
   */
  readonly objectiveMilliseconds: number;
  /**
   * Time from the first byte after which the caller or the route gives up, in
   * milliseconds.
   */
  readonly limitMilliseconds: number;
}

/** Current load of a host's event loop. */
export interface LoopLoad {
  /**
   * Time for which the event loop has been busy without a pause, in
   * milliseconds.
   */
  readonly busyMilliseconds: number;
  /** Requests that were started and whose answers have not started yet. */
  readonly unansweredRequests: number;
}

/** A request that is refused without having been run. */
export interface RefusedArrival<Request> {
  readonly request: Request;
  /** Time after which a retry may succeed, in milliseconds. */
  readonly retryAfterMilliseconds: number;
}

/** The decision about a batch of requests: each one is started or refused. */
export interface ArrivalPlan<Request> {
  readonly begun: readonly Request[];
  readonly refused: readonly RefusedArrival<Request>[];
}

/** Decides which of the requests that a host has read are started. */
export abstract class ArrivalAdmission {
  /**
   * Records that the answer to a request has started.
   *
   * @param now Monotonic clock, in milliseconds.
   */
  abstract recordAnswerStart(load: LoopLoad, now: number): void;

  /**
   * Decides which requests to start and which to refuse.
   *
   * @param arrived Requests in the order in which they were read.
   * @param now Monotonic clock, in milliseconds.
   */
  abstract plan<Request extends ArrivedRequest>(
    arrived: readonly Request[],
    load: LoopLoad,
    now: number,
  ): ArrivalPlan<Request>;
}

/** Baseline policy: starts all requests immediately, in order of arrival. */
export class BeginAll extends ArrivalAdmission {
  override recordAnswerStart(): void {
    // The baseline does not use the answer rate.
  }

  override plan<Request extends ArrivedRequest>(
    arrived: readonly Request[],
  ): ArrivalPlan<Request> {
    return {begun: arrived, refused: []};
  }
}

/**
 * The host is overloaded while its event loop has been busy without a pause for
 * longer than this share of a request's objective.
 */
const BUSY_LOOP_OBJECTIVE_SHARE = 0.25;
/**
 * Callers abandon an answer that takes more than this multiple of the
 * objective, whatever their own limit is.
 */
const MAXIMUM_WAIT_OBJECTIVES = 8;
/**
 * Approximate number of answers in the moving average of the interval between
 * answers. It smooths out the many answers that start in the same turn of the
 * loop.
 */
const MEAN_WINDOW_ANSWERS = 50;
/** Minimum delay in a refusal before the caller retries, in milliseconds. */
const MINIMUM_RETRY_AFTER_MILLISECONDS = 10;

/**
 * Refuses a request immediately if an overloaded host, at its current answer
 * rate, would answer it too late to be useful. Requests that were started are
 * never refused.
 *
 * This applies when callers of a few organisations send a small host two or
 * three times its capacity. If everything were started, each turn of the event
 * loop would read all requests that arrived during the previous turn, the turns
 * would get longer, and the host would work on requests that their callers have
 * already abandoned. Nothing would be refused, and no caller would be served.
 *
 * The expected wait is the number of requests in progress times the mean
 * interval between answers (Little's law), regardless of what the interval
 * consists of. A loop that has paused recently is not overloaded and starts
 * everything, so slow endpoints are no reason to refuse.
 *
 * A request that would be late but still useful is started. When the load is
 * only slightly above capacity, reading and refusing a request and handling the
 * caller's retry on a new connection cost about half as much as serving it.
 * Each refusal would cause more load, and fewer requests would be served than
 * without refusals.
 */
export class BeginWithinLimit extends ArrivalAdmission {
  private meanAnswerIntervalMilliseconds = 0;
  private sampleCount = 0;
  private lastAnswerAt = -Infinity;

  override recordAnswerStart({busyMilliseconds}: LoopLoad, now: number): void {
    const interval = now - this.lastAnswerAt;
    this.lastAnswerAt = now;
    // The interval measures the host's own rate only while the loop was busy
    // during all of it.
    if (interval < busyMilliseconds) {
      this.sampleCount = Math.min(MEAN_WINDOW_ANSWERS, this.sampleCount + 1);
      this.meanAnswerIntervalMilliseconds +=
        (interval - this.meanAnswerIntervalMilliseconds) / this.sampleCount;
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
      const requestsAhead = load.unansweredRequests + begun.length;
      const expectedWaitMilliseconds =
        requestsAhead * this.meanAnswerIntervalMilliseconds;
      const isTooLate =
        now + expectedWaitMilliseconds - request.receivedAt >
        maximumUsefulWaitMilliseconds(request);
      if (requestsAhead > 0 && isTooLate && isLoopOverloaded(request, load)) {
        refused.push({
          request,
          retryAfterMilliseconds: Math.max(
            MINIMUM_RETRY_AFTER_MILLISECONDS,
            expectedWaitMilliseconds,
          ),
        });
      } else {
        begun.push(request);
      }
    }
    return {begun, refused};
  }
}

/** Returns the longest useful wait from the first byte, in milliseconds. */
function maximumUsefulWaitMilliseconds({
  objectiveMilliseconds,
  limitMilliseconds,
}: ArrivedRequest): number {
  return Math.min(
    limitMilliseconds,
    objectiveMilliseconds * MAXIMUM_WAIT_OBJECTIVES,
  );
}

function isLoopOverloaded(
  {objectiveMilliseconds}: ArrivedRequest,
  {busyMilliseconds}: LoopLoad,
): boolean {
  return busyMilliseconds > objectiveMilliseconds * BUSY_LOOP_OBJECTIVE_SHARE;
}
