import {ClassQueue} from './class-queue.js';
import {ClassShares} from './class-shares.js';
import {
  maximumTokensOf,
  OrganisationAccounts,
} from './organisation-accounts.js';
import type {OrganisationAccount} from './organisation-flow.js';
import {
  NO_BACKLOG,
  QueuePolicy,
  type Backlog,
  type QueuedWork,
} from './queue-policy.js';
import {WorkClass, type WorkItem} from './work.js';

/**
 * Interactive work precedes the batch work of other organisations while its own
 * organisation is at most this many average requests ahead of them. Without a
 * limit, an organisation that offers ten times its share of interactive work
 * would take the others' share of batch work. Twenty requests are more than the
 * fluctuation in a busy minute and less than a second of the fleet's work.
 */
const PRECEDENCE_REQUESTS = 20;

/**
 * Serves interactive work before batch work, with fair shares between
 * organisations by tokens over both classes. An organisation's interactive work
 * has precedence only within its share.
 */
export class FairQueue extends QueuePolicy {
  private readonly accounts = new OrganisationAccounts();
  private readonly shares = new ClassShares();
  private readonly interactive = new ClassQueue();
  private readonly batch = new ClassQueue();

  override get size(): number {
    return this.interactive.size + this.batch.size;
  }

  override sizeOf(workClass: WorkClass): number {
    return this.queueOf(workClass).size;
  }

  override get hasPrecedenceWaiting(): boolean {
    return (
      this.interactive.size > 0 &&
      this.isWithinShare(this.interactive.lowestFinishTag)
    );
  }

  override get isBatchStarved(): boolean {
    return this.batch.size > 0 && this.shares.isBatchStarved;
  }

  override hasPrecedence(item: WorkItem): boolean {
    return (
      item.workClass === WorkClass.Interactive &&
      this.isWithinShare(this.accounts.of(item).finishTag)
    );
  }

  override mayOvertake(item: WorkItem): boolean {
    return this.hasPrecedence(item)
      ? !this.hasPrecedenceWaiting
      : this.size === 0;
  }

  override push(work: QueuedWork): void {
    const {item} = work;
    const account = this.accounts.of(item);
    const queue = this.queueOf(item.workClass);
    if (!this.isWaiting(account)) {
      this.accounts.activate(account, item.weight);
    }
    if (queue.size === 0) {
      this.shares.activate(item.workClass);
    }
    queue.push(work, account);
  }

  override peek(): QueuedWork | undefined {
    if (this.interactive.size === 0) {
      return this.batch.peek();
    }
    if (this.batch.size === 0) {
      return this.interactive.peek();
    }
    return this.shares.isBatchNext || !this.hasPrecedenceWaiting
      ? this.batch.peek()
      : this.interactive.peek();
  }

  override remove(requestId: string): boolean {
    return this.interactive.remove(requestId) || this.batch.remove(requestId);
  }

  override charge(item: WorkItem): void {
    const account = this.accounts.of(item);
    const tokens = maximumTokensOf(item);
    this.accounts.charge(account, tokens);
    this.retag(account);
    this.shares.charge(item.workClass, tokens, this.batch.size > 0);
  }

  override settle(item: WorkItem, usedTokens: number): void {
    const account = this.accounts.of(item);
    const unused = maximumTokensOf(item) - usedTokens;
    this.accounts.refund(account, unused);
    this.retag(account);
    this.shares.refund(item.workClass, unused);
  }

  override backlogAhead(item: WorkItem): Backlog {
    const account = this.accounts.of(item);
    if (item.workClass === WorkClass.Interactive) {
      return sum(
        this.interactive.backlogAhead(account),
        this.batchBacklogBefore(account.finishTag),
      );
    }
    // Interactive work that arrives in the meantime is served first.
    return sum(
      this.interactive.backlog,
      scaled(this.batch.backlogAhead(account), 1 / this.shares.batchShare),
    );
  }

  private isWithinShare(tag: number): boolean {
    return this.batch.size === 0 || this.excessOverPrecedence(tag) <= 0;
  }

  /**
   * Returns by how much a finish tag exceeds the limit for precedence of
   * interactive work.
   */
  private excessOverPrecedence(tag: number): number {
    const allowed = PRECEDENCE_REQUESTS * this.accounts.meanRequestStep;
    return tag - (this.batch.lowestFinishTag + allowed);
  }

  /**
   * Returns the batch work of others that is served before an organisation that
   * has exceeded its share.
   */
  private batchBacklogBefore(tag: number): Backlog {
    if (this.isWithinShare(tag)) {
      return NO_BACKLOG;
    }
    const requestsEach =
      this.excessOverPrecedence(tag) / this.accounts.meanRequestStep;
    const part = (requestsEach * this.batch.activeFlows) / this.batch.size;
    return scaled(this.batch.backlog, Math.min(1, part));
  }

  private isWaiting(account: OrganisationAccount): boolean {
    return this.interactive.has(account) || this.batch.has(account);
  }

  private retag(account: OrganisationAccount): void {
    this.interactive.retag(account);
    this.batch.retag(account);
  }

  private queueOf(workClass: WorkClass): ClassQueue {
    return workClass === WorkClass.Interactive ? this.interactive : this.batch;
  }
}

function sum(left: Backlog, right: Backlog): Backlog {
  return {
    requests: left.requests + right.requests,
    outputTokens: left.outputTokens + right.outputTokens,
  };
}

function scaled(backlog: Backlog, factor: number): Backlog {
  return {
    requests: backlog.requests * factor,
    outputTokens: backlog.outputTokens * factor,
  };
}
