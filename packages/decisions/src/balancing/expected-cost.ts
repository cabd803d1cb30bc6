import type {EndpointWork} from './endpoint-work.js';
import type {ServiceSpeed} from './service-speed.js';

/** What determines the cost of a request at any endpoint. */
export interface RequestCost {
  /** Monotonic clock, milliseconds. */
  readonly now: number;
  readonly speed: ServiceSpeed;
  /** Data centre of this host. */
  readonly dataCenter: string;
  /** Objective for the begin of the answer, milliseconds; 0 if none is set. */
  readonly goalMilliseconds: number;
  /** Longest pause between events that callers accept, milliseconds; 0 if none is set. */
  readonly pauseGoalMilliseconds: number;
  /** Prompt tokens that no other request shares. */
  readonly ownTokens: number;
  /** Number of hosts that send requests to the same endpoints. */
  readonly hosts: number;
}

/** Objective of requests whose route has none, milliseconds. */
const USUAL_GOAL_MILLISECONDS = 200;

/** The objective for the begin of a request's answer, milliseconds. */
export function goalOf({goalMilliseconds}: RequestCost): number {
  return goalMilliseconds > 0 ? goalMilliseconds : USUAL_GOAL_MILLISECONDS;
}

/** An endpoint as the cost of a request depends on it. */
export interface CostCandidate {
  readonly dataCenter: string;
  readonly slots: number;
  /** Number of this host's requests in progress there. */
  readonly load: number;
  /** Undefined if the host has sent nothing there. */
  readonly work?: EndpointWork | undefined;
}

/**
 * Compares endpoints by what a request costs there, in milliseconds: the expected time
 * until its answer begins, the pauses that it causes to this host's streams there, and
 * how much more than others the endpoint got from this host.
 */
export class ExpectedCost {
  private readonly assumed = new Map<string, number>();
  private readonly meanSent = new Map<string, number>();
  private readonly idleMilliseconds: number;
  /** Mean number of other hosts' streams at an endpoint, if they have as many as this one. */
  private readonly otherStreams: number;

  /**
   * @param remoteMilliseconds Cost of an endpoint in another data centre.
   * @param candidates All endpoints that the request may go to.
   */
  constructor(
    private readonly request: RequestCost,
    private readonly remoteMilliseconds: number,
    candidates: readonly CostCandidate[],
  ) {
    this.idleMilliseconds = request.speed.beginMilliseconds(request.ownTokens);
    const streams = candidates.reduce(
      (sum, {work}) => sum + (work?.runningStreams ?? 0),
      0,
    );
    this.otherStreams =
      ((request.hosts - 1) * streams) / Math.max(1, candidates.length);
    this.computeMeans(candidates);
    this.startTurns(candidates);
  }

  /**
   * Cost of the request at an endpoint, milliseconds.
   *
   * @param tokens Prompt tokens to read there.
   */
  of(candidate: CostCandidate, tokens: number): number {
    const {dataCenter} = candidate;
    const slowness = this.slowness(candidate);
    return (
      slowness * this.waitMilliseconds(candidate, tokens) +
      slowness * this.pauseCost(candidate, tokens) +
      (candidate.load < candidate.slots ? 0 : goalOf(this.request)) +
      (this.sentMilliseconds(candidate) -
        (this.meanSent.get(dataCenter) ?? 0)) +
      (dataCenter === this.request.dataCenter ? 0 : this.remoteMilliseconds)
    );
  }

  /** Expected time until the answer begins, milliseconds. */
  beginMilliseconds(candidate: CostCandidate, tokens: number): number {
    return this.slowness(candidate) * this.waitMilliseconds(candidate, tokens);
  }

  /** Factor by which an endpoint is believed to exceed the times without waiting. */
  slowness({work, dataCenter}: CostCandidate): number {
    const assumed = this.assumed.get(dataCenter) ?? 0;
    return work?.slowness(assumed, this.request.now) ?? Math.exp(assumed);
  }

  /**
   * Time that an endpoint needs for all that this host has sent there, milliseconds. It
   * differs by one request at most from the mean, so that an endpoint that got nothing
   * for long doesn't get many at once later.
   */
  sentMilliseconds({work, dataCenter}: CostCandidate): number {
    const mean = this.meanSent.get(dataCenter) ?? 0;
    const sent = work?.sentMilliseconds ?? mean;
    const {idleMilliseconds} = this;
    return Math.min(
      mean + idleMilliseconds,
      Math.max(mean - idleMilliseconds, sent),
    );
  }

  private computeMeans(candidates: readonly CostCandidate[]): void {
    const {speed, now} = this.request;
    const counts = new Map<string, number>();
    for (const {dataCenter, work} of candidates) {
      if (!this.assumed.has(dataCenter)) {
        this.assumed.set(dataCenter, speed.logSlownessOf(dataCenter, now));
      }
      if (work?.sentMilliseconds !== undefined) {
        const count = (counts.get(dataCenter) ?? 0) + 1;
        const mean = this.meanSent.get(dataCenter) ?? 0;
        counts.set(dataCenter, count);
        this.meanSent.set(
          dataCenter,
          mean + (work.sentMilliseconds - mean) / count,
        );
      }
    }
  }

  /**
   * An endpoint that is new to this host takes part in its turns from now on. If it kept
   * to the mean, one of the others would always be below it.
   */
  private startTurns(candidates: readonly CostCandidate[]): void {
    for (const {dataCenter, work} of candidates) {
      if (work !== undefined) {
        work.sentMilliseconds ??= this.meanSent.get(dataCenter) ?? 0;
      }
    }
  }

  /** The time until the answer begins at an endpoint of usual speed. */
  private waitMilliseconds(
    {work, load, slots}: CostCandidate,
    tokens: number,
  ): number {
    const waitingTokens = work?.waitingTokens ?? 0;
    const occupancy = 1 + load / slots + Math.max(0, load + 1 - slots);
    return (
      occupancy * this.request.speed.beginMilliseconds(waitingTokens + tokens)
    );
  }

  /** Streams pause while their engine reads a prompt. */
  private pauseCost({work}: CostCandidate, tokens: number): number {
    const {pauseGoalMilliseconds, speed} = this.request;
    const streams = (work?.runningStreams ?? 0) + this.otherStreams;
    return streams === 0 || pauseGoalMilliseconds <= 0
      ? 0
      : streams *
          speed.readMilliseconds(tokens) *
          (goalOf(this.request) / pauseGoalMilliseconds);
  }
}
