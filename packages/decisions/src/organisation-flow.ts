import type {Backlog, QueuedWork} from './queue-policy.js';

/**
 * The service that one organisation has received, over both classes of work.
 */
export class OrganisationAccount {
  /** Virtual time up to which the organisation has received its share. */
  finishTag = 0;

  constructor(
    readonly organisation: string,
    public weight: number,
  ) {}
}

/** The queued requests of one organisation and class. */
export class OrganisationFlow {
  private readonly waiting = new Map<string, QueuedWork>();
  private outputTokens = 0;

  constructor(readonly account: OrganisationAccount) {}

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

  remove(requestId: string): QueuedWork | undefined {
    const work = this.waiting.get(requestId);
    this.outputTokens -= work?.item.maximumOutputTokens ?? 0;
    this.waiting.delete(requestId);
    return work;
  }
}
