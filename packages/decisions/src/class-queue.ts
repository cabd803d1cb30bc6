import {IndexedHeap} from './indexed-heap.js';
import {
  OrganisationFlow,
  type OrganisationAccount,
} from './organisation-flow.js';
import {NO_BACKLOG, type Backlog, type QueuedWork} from './queue-policy.js';

/**
 * The queued requests of one class of work, with one flow per organisation. The
 * organisation that has received the least of its share is served first.
 */
export class ClassQueue {
  private readonly flows = new Map<OrganisationAccount, OrganisationFlow>();
  private readonly flowsByFinishTag = new IndexedHeap<OrganisationFlow>();
  private readonly flowOfRequest = new Map<string, OrganisationFlow>();
  private weightSum = 0;
  private outputTokens = 0;

  get size(): number {
    return this.flowOfRequest.size;
  }

  get backlog(): Backlog {
    return {requests: this.size, outputTokens: this.outputTokens};
  }

  /** Number of organisations with queued requests. */
  get activeFlows(): number {
    return this.flows.size;
  }

  /** The lowest finish tag; Infinity if the queue is empty. */
  get lowestFinishTag(): number {
    return this.flowsByFinishTag.peekPriority() ?? Infinity;
  }

  has(account: OrganisationAccount): boolean {
    return this.flows.has(account);
  }

  push(work: QueuedWork, account: OrganisationAccount): void {
    const flow = this.flows.get(account) ?? this.addFlow(account);
    flow.push(work);
    this.flowOfRequest.set(work.item.requestId, flow);
    this.outputTokens += work.item.maximumOutputTokens;
  }

  peek(): QueuedWork | undefined {
    return this.flowsByFinishTag.peek()?.peek();
  }

  remove(requestId: string): boolean {
    const flow = this.flowOfRequest.get(requestId);
    const work = flow?.remove(requestId);
    if (flow === undefined || work === undefined) {
      return false;
    }
    this.flowOfRequest.delete(requestId);
    this.outputTokens -= work.item.maximumOutputTokens;
    if (flow.isEmpty) {
      this.flowsByFinishTag.remove(flow);
      this.flows.delete(flow.account);
      this.weightSum -= flow.account.weight;
    }
    return true;
  }

  /** Reorders the account's flow after its finish tag has changed. */
  retag(account: OrganisationAccount): void {
    const flow = this.flows.get(account);
    if (flow !== undefined) {
      this.flowsByFinishTag.set(flow, account.finishTag);
    }
  }

  /**
   * Estimates the backlog ahead of a new request: the organisation's own
   * backlog, scaled by the share that the other waiting organisations receive
   * in the meantime, and at most the whole queue.
   */
  backlogAhead(account: OrganisationAccount): Backlog {
    const own = this.flows.get(account)?.backlog ?? NO_BACKLOG;
    const shareRatio = this.weightSum / account.weight;
    return {
      requests: Math.min(this.size, own.requests * shareRatio),
      outputTokens: Math.min(this.outputTokens, own.outputTokens * shareRatio),
    };
  }

  private addFlow(account: OrganisationAccount): OrganisationFlow {
    const flow = new OrganisationFlow(account);
    this.flows.set(account, flow);
    this.flowsByFinishTag.set(flow, account.finishTag);
    this.weightSum += account.weight;
    return flow;
  }
}
