import {IndexedHeap} from './indexed-heap.js';
import {OrganisationFlow} from './organisation-flow.js';
import type {Backlog, QueuedWork} from './queue-policy.js';
import type {WorkItem} from './work.js';

/** Flows that owe nothing are dropped whenever their number has doubled. */
const FLOWS_BEFORE_FIRST_SWEEP = 64;

/** What a request may use, in tokens: charged when it gets a slot. */
export function chargeOf(item: WorkItem): number {
  return item.promptTokens + item.maximumOutputTokens;
}

/**
 * Start-time fair queueing between the organisations of one class of work.
 *
 * Load: one organisation offers many times its share. Harm: its backlog stands
 * before everybody's next request, and a trainee of another firm loses the
 * thread. Each organisation has a virtual start time; the lowest is served and
 * moves on by tokens over weight, so that shares hold by tokens and not by
 * requests. An organisation that comes back from idleness starts at the present
 * virtual time: idleness earns no credit, and use of idle capacity costs none.
 */
export class ClassQueue {
  private readonly flows = new Map<string, OrganisationFlow>();
  private readonly active = new IndexedHeap<OrganisationFlow>();
  private readonly flowOfRequest = new Map<string, OrganisationFlow>();
  private virtualTime = 0;
  private activeWeight = 0;
  private outputTokens = 0;
  private sweepAt = FLOWS_BEFORE_FIRST_SWEEP;

  get size(): number {
    return this.flowOfRequest.size;
  }

  get backlog(): Backlog {
    return {requests: this.size, outputTokens: this.outputTokens};
  }

  push(work: QueuedWork): void {
    const flow = this.flowOf(work.item);
    if (flow.isEmpty) {
      this.activate(flow, work.item.weight);
    }
    flow.push(work);
    this.flowOfRequest.set(work.item.requestId, flow);
    this.outputTokens += work.item.maximumOutputTokens;
  }

  peek(): QueuedWork | undefined {
    return this.active.peek()?.peek();
  }

  remove(requestId: string): boolean {
    const flow = this.flowOfRequest.get(requestId);
    if (flow === undefined) {
      return false;
    }
    const before = flow.backlog.outputTokens;
    flow.remove(requestId);
    this.outputTokens -= before - flow.backlog.outputTokens;
    this.flowOfRequest.delete(requestId);
    if (flow.isEmpty) {
      this.active.remove(flow);
      this.activeWeight -= flow.weight;
    }
    return true;
  }

  charge(item: WorkItem): void {
    const flow = this.flowOf(item);
    this.virtualTime = Math.max(this.virtualTime, flow.finishTag);
    this.moveTag(flow, this.virtualTime + chargeOf(item) / flow.weight);
  }

  /** The charge was an upper bound: what was not used is given back. */
  settle(item: WorkItem, usedTokens: number): void {
    const flow = this.flows.get(item.organisation);
    if (flow !== undefined) {
      const unused = chargeOf(item) - usedTokens;
      this.moveTag(flow, flow.finishTag - unused / flow.weight);
    }
  }

  /**
   * The organisation's own backlog, times what the others that wait get
   * meanwhile, but never more than waits at all.
   */
  ahead(item: WorkItem): Backlog {
    const flow = this.flows.get(item.organisation);
    if (flow === undefined || flow.isEmpty) {
      return {requests: 0, outputTokens: 0};
    }
    const turns = this.activeWeight / flow.weight;
    const own = flow.backlog;
    return {
      requests: Math.min(this.size, own.requests * turns),
      outputTokens: Math.min(this.outputTokens, own.outputTokens * turns),
    };
  }

  private activate(flow: OrganisationFlow, weight: number): void {
    flow.weight = weight;
    flow.finishTag = Math.max(flow.finishTag, this.virtualTime);
    this.activeWeight += weight;
    this.active.set(flow, flow.finishTag);
  }

  private moveTag(flow: OrganisationFlow, finishTag: number): void {
    flow.finishTag = finishTag;
    if (this.active.has(flow)) {
      this.active.set(flow, finishTag);
    }
  }

  private flowOf(item: WorkItem): OrganisationFlow {
    const known = this.flows.get(item.organisation);
    if (known !== undefined) {
      return known;
    }
    this.sweep();
    const flow = new OrganisationFlow(item.organisation, item.weight);
    this.flows.set(item.organisation, flow);
    return flow;
  }

  /** Keeps memory in proportion to the organisations that are served. */
  private sweep(): void {
    if (this.flows.size < this.sweepAt) {
      return;
    }
    for (const flow of this.flows.values()) {
      if (flow.isEmpty && flow.finishTag <= this.virtualTime) {
        this.flows.delete(flow.organisation);
      }
    }
    this.sweepAt = Math.max(FLOWS_BEFORE_FIRST_SWEEP, 2 * this.flows.size);
  }
}
