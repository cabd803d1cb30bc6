import type {
  EndpointDescription,
  EngineLoadReport,
} from './endpoint-description.js';
import {EndpointHealth} from './endpoint-health.js';
import {WorkClass, type WorkItem} from './work.js';

/**
 * Reports lag by about this long. The router's own count is smoothed over it
 * before it is subtracted from a report, so that own work which began or ended
 * meanwhile is not taken for other routers' work.
 */
const REPORT_LAG_MILLISECONDS = 1_000;

/** One request of this router at an endpoint. */
export interface PlacedWork {
  readonly item: WorkItem;
  readonly state: EndpointState;
  readonly placedAt: number;
  readonly isProbe: boolean;
  firstTokenAt: number | undefined;
}

/** What is known of one endpoint: its description, and this router's own work. */
export class EndpointState {
  readonly health = new EndpointHealth();
  /** Set while the endpoint is shed as slow; it then gets probes only. */
  shedSince: number | undefined;
  private readonly inProgress = new Map<string, WorkClass>();
  private interactive = 0;
  /** Without a first token yet, oldest first. */
  private readonly awaited = new Map<string, PlacedWork>();
  private othersInProgress = 0;
  private saysLeaving = false;
  private smoothedOwn = 0;
  private smoothedAt = 0;

  constructor(public description: EndpointDescription) {}

  get endpoint(): string {
    return this.description.endpoint;
  }

  /** This router's requests in progress there. */
  get ownInProgress(): number {
    return this.inProgress.size;
  }

  /** Those of them that are interactive. */
  get ownInteractive(): number {
    return this.interactive;
  }

  /** Own work in progress, and what the last report leaves to other routers. */
  get load(): number {
    return this.inProgress.size + this.othersInProgress;
  }

  /** From the first of: configuration, the platform's list, its own word. */
  get leaving(): boolean {
    return this.description.leaving || this.saysLeaving;
  }

  /**
   * Slots that this router may fill. At least one, however much others do there
   * by the report: a router whose reports are late would else never be served
   * beside routers that fill each slot as it falls free.
   */
  get usableSlots(): number {
    return this.leaving
      ? 0
      : Math.max(1, this.description.slots - this.othersInProgress);
  }

  /** The request that has waited longest for its first token. */
  get oldestAwaited(): PlacedWork | undefined {
    return this.awaited.values().next().value;
  }

  /** A request was placed there. */
  begin(work: PlacedWork): void {
    this.smoothOwn(work.placedAt);
    this.inProgress.set(work.item.requestId, work.item.workClass);
    this.interactive += interactiveCount(work.item.workClass);
    this.awaited.set(work.item.requestId, work);
  }

  /** Its first token has arrived. */
  firstToken(requestId: string): void {
    this.awaited.delete(requestId);
  }

  /** It has ended. */
  end(requestId: string, now: number): void {
    this.smoothOwn(now);
    this.interactive -= interactiveCount(this.inProgress.get(requestId));
    this.inProgress.delete(requestId);
    this.awaited.delete(requestId);
  }

  /** Takes in a lagging report: only what others do there is believed of it. */
  report(report: EngineLoadReport, now: number): void {
    this.smoothOwn(now);
    const own = Math.max(this.smoothedOwn, this.inProgress.size);
    const reported = report.running + report.waiting;
    this.othersInProgress = Math.max(0, Math.floor(reported - own));
    this.saysLeaving = report.leaving;
  }

  private smoothOwn(now: number): void {
    const elapsed = Math.max(0, now - this.smoothedAt);
    const kept = Math.exp(-elapsed / REPORT_LAG_MILLISECONDS);
    this.smoothedOwn =
      this.inProgress.size + kept * (this.smoothedOwn - this.inProgress.size);
    this.smoothedAt = now;
  }
}

function interactiveCount(workClass: WorkClass | undefined): number {
  return workClass === WorkClass.Interactive ? 1 : 0;
}
