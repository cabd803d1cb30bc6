import {IndexedHeap} from './indexed-heap.js';
import {
  OrganisationFlow,
  type OrganisationAccount,
} from './organisation-flow.js';
import {NO_BACKLOG, type Backlog, type QueuedWork} from './queue-policy.js';

/**
 * The waiting requests of one class of work: a flow for each organisation, the
 * one that has had least of its share first.
 */
export class ClassQueue {
  private readonly flows = new Map<OrganisationAccount, OrganisationFlow>();
  private readonly order = new IndexedHeap<OrganisationFlow>();
  private readonly flowOfRequest = new Map<string, OrganisationFlow>();
  private weightSum = 0;
  private outputTokens = 0;

  get size(): number {
    return this.flowOfRequest.size;
  }

  get backlog(): Backlog {
    return {requests: this.size, outputTokens: this.outputTokens};
  }

  /** Number of organisations that have requests here. */
  get activeFlows(): number {
    return this.flows.size;
  }

  /** The lowest finish tag; Infinity where nothing waits. */
  get firstTag(): number {
    return this.order.peekPriority() ?? Infinity;
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
    return this.order.peek()?.peek();
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
      this.order.remove(flow);
      this.flows.delete(flow.account);
      this.weightSum -= flow.account.weight;
    }
    return true;
  }

  /** The account's finish tag has changed. */
  retag(account: OrganisationAccount): void {
    const flow = this.flows.get(account);
    if (flow !== undefined) {
      this.order.set(flow, account.finishTag);
    }
  }

  /**
   * The organisation's own backlog, times what the others that wait get
   * meanwhile, but never more than waits at all.
   */
  ahead(account: OrganisationAccount): Backlog {
    const own = this.flows.get(account)?.backlog ?? NO_BACKLOG;
    const turns = this.weightSum / account.weight;
    return {
      requests: Math.min(this.size, own.requests * turns),
      outputTokens: Math.min(this.outputTokens, own.outputTokens * turns),
    };
  }

  private addFlow(account: OrganisationAccount): OrganisationFlow {
    const flow = new OrganisationFlow(account);
    this.flows.set(account, flow);
    this.order.set(flow, account.finishTag);
    this.weightSum += account.weight;
    return flow;
  }
}
