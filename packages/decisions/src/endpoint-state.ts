import type {
  EndpointDescription,
  EngineLoadReport,
} from './endpoint-description.js';

/** What is known of one endpoint: its description, and this router's own work. */
export class EndpointState {
  /** When this router's requests in progress there were placed. */
  private readonly inProgress = new Map<string, number>();
  /** Milliseconds from the latest placement to its first token. */
  private firstTokenMilliseconds = 0;
  private othersInProgress = 0;
  private saysLeaving = false;

  constructor(public description: EndpointDescription) {}

  get endpoint(): string {
    return this.description.endpoint;
  }

  /** Own work in progress, and what the last report leaves to other routers. */
  get load(): number {
    return this.inProgress.size + this.othersInProgress;
  }

  /** From the first of: configuration, the platform's list, its own word. */
  get leaving(): boolean {
    return this.description.leaving || this.saysLeaving;
  }

  get hasFreeSlot(): boolean {
    return !this.leaving && this.load < this.description.slots;
  }

  /** This router's requests in progress there. */
  get ownInProgress(): number {
    return this.inProgress.size;
  }

  /** How long the latest first token took, in milliseconds. */
  get latestFirstTokenMilliseconds(): number {
    return this.firstTokenMilliseconds;
  }

  /** A request was placed there. */
  begin(requestId: string, now: number): void {
    this.inProgress.set(requestId, now);
  }

  /** Its first token has arrived. */
  firstToken(requestId: string, now: number): void {
    const placedAt = this.inProgress.get(requestId);
    if (placedAt !== undefined) {
      this.firstTokenMilliseconds = now - placedAt;
    }
  }

  /** It has ended. */
  end(requestId: string): void {
    this.inProgress.delete(requestId);
  }

  /** Takes in a lagging report: only what others do there is believed of it. */
  report(report: EngineLoadReport): void {
    const reported = report.running + report.waiting;
    this.othersInProgress = Math.max(0, reported - this.inProgress.size);
    this.saysLeaving = report.leaving;
  }
}
