import type {
  EndpointDescription,
  EngineLoadReport,
} from './endpoint-description.js';
import {EndpointHealth} from './endpoint-health.js';
import {WorkClass, type WorkItem} from './work.js';

/**
 * Approximate lag of load reports, in milliseconds. The router's own request
 * count is smoothed over this time before it is subtracted from a report, so
 * that its own requests that started or ended in between are not attributed to
 * other routers.
 */
const REPORT_LAG_MILLISECONDS = 1_000;

/** A request of this router that was placed on an endpoint. */
export interface PlacedWork {
  readonly item: WorkItem;
  readonly state: EndpointState;
  readonly placedAt: number;
  readonly isProbe: boolean;
  firstTokenAt: number | undefined;
}

/**
 * State of one endpoint: its description, and this router's own requests there.
 */
export class EndpointState {
  readonly health = new EndpointHealth();
  /** Set while the endpoint is shed as slow and receives only probes. */
  shedSince: number | undefined;
  private readonly inProgress = new Map<string, WorkClass>();
  private interactive = 0;
  /** Requests without a first token so far, oldest first. */
  private readonly awaitingFirstToken = new Map<string, PlacedWork>();
  private otherRoutersInProgress = 0;
  private isReportedLeaving = false;
  private smoothedOwnRequests = 0;
  private smoothedAt = 0;

  constructor(public description: EndpointDescription) {}

  get endpoint(): string {
    return this.description.endpoint;
  }

  /** Number of this router's requests in progress at the endpoint. */
  get ownInProgress(): number {
    return this.inProgress.size;
  }

  /** Number of this router's interactive requests in progress. */
  get ownInteractive(): number {
    return this.interactive;
  }

  /**
   * This router's requests in progress, plus those of other routers according
   * to the last report.
   */
  get load(): number {
    return this.inProgress.size + this.otherRoutersInProgress;
  }

  /**
   * True as soon as the configuration, the platform's list or the endpoint's
   * own report says that it is leaving.
   */
  get leaving(): boolean {
    return this.description.leaving || this.isReportedLeaving;
  }

  /**
   * Number of slots that this router may use. It is at least one, whatever the
   * reports say about other routers: a router with late reports would otherwise
   * never be served beside routers that fill each slot as soon as it is free.
   */
  get usableSlots(): number {
    return this.leaving
      ? 0
      : Math.max(1, this.description.slots - this.otherRoutersInProgress);
  }

  /** The request that has waited longest for its first token. */
  get oldestAwaitingFirstToken(): PlacedWork | undefined {
    return this.awaitingFirstToken.values().next().value;
  }

  /** Records that a request was placed. */
  begin(work: PlacedWork): void {
    this.updateSmoothedOwnRequests(work.placedAt);
    this.inProgress.set(work.item.requestId, work.item.workClass);
    this.interactive += interactiveCount(work.item.workClass);
    this.awaitingFirstToken.set(work.item.requestId, work);
  }

  /** Records the first token of a request. */
  firstToken(requestId: string): void {
    this.awaitingFirstToken.delete(requestId);
  }

  /** Records the end of a request. */
  end(requestId: string, now: number): void {
    this.updateSmoothedOwnRequests(now);
    this.interactive -= interactiveCount(this.inProgress.get(requestId));
    this.inProgress.delete(requestId);
    this.awaitingFirstToken.delete(requestId);
  }

  /**
   * Applies a lagging load report. Only the number of other routers' requests
   * is derived from it.
   */
  report(report: EngineLoadReport, now: number): void {
    this.updateSmoothedOwnRequests(now);
    const own = Math.max(this.smoothedOwnRequests, this.inProgress.size);
    const reported = report.running + report.waiting;
    this.otherRoutersInProgress = Math.max(0, Math.floor(reported - own));
    this.isReportedLeaving = report.leaving;
  }

  private updateSmoothedOwnRequests(now: number): void {
    const elapsed = Math.max(0, now - this.smoothedAt);
    const decay = Math.exp(-elapsed / REPORT_LAG_MILLISECONDS);
    this.smoothedOwnRequests =
      this.inProgress.size +
      decay * (this.smoothedOwnRequests - this.inProgress.size);
    this.smoothedAt = now;
  }
}

function interactiveCount(workClass: WorkClass | undefined): number {
  return workClass === WorkClass.Interactive ? 1 : 0;
}
