import type {Backlog, QueuedWork} from './queue-policy.js';

/** The waiting requests of one organisation and class, and its account. */
export class OrganisationFlow {
  /** Virtual time until which the organisation has had its share. */
  finishTag = 0;
  private readonly waiting = new Map<string, QueuedWork>();
  private outputTokens = 0;

  constructor(
    readonly organisation: string,
    public weight: number,
  ) {}

  get backlog(): Backlog {
    return {requests: this.waiting.size, outputTokens: this.outputTokens};
  }

  get isEmpty(): boolean {
    return this.waiting.size === 0;
  }

  push(work: QueuedWork): void {
    this.waiting.set(work.item.requestId, work);
    this.outputTokens += work.item.maximumOutputTokens;
  }

  peek(): QueuedWork | undefined {
    return this.waiting.values().next().value;
  }

  remove(requestId: string): boolean {
    const work = this.waiting.get(requestId);
    this.outputTokens -= work?.item.maximumOutputTokens ?? 0;
    return this.waiting.delete(requestId);
  }
}
