import {ClassQueue} from './class-queue.js';
import {ClassShares} from './class-shares.js';
import {chargeOf, OrganisationAccounts} from './organisation-accounts.js';
import type {OrganisationAccount} from './organisation-flow.js';
import {
  NO_BACKLOG,
  QueuePolicy,
  type Backlog,
  type QueuedWork,
} from './queue-policy.js';
import {WorkClass, type WorkItem} from './work.js';

/**
 * Interactive work goes before other organisations' batch work as long as its
 * own organisation is at most so many requests' worth ahead of them. Load: one
 * organisation offers ten times its share of interactive work. Harm: without a
 * limit it would take the others' share of batch work. Twenty requests are more
 * than a busy minute's fluctuation and less than a second of the fleet's work.
 */
const PRECEDENCE_REQUESTS = 20;

/**
 * Interactive before batch, and fair shares between organisations by tokens over
 * both classes: an organisation's interactive work has precedence only within
 * its share.
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

  override get precedenceWaits(): boolean {
    return (
      this.interactive.size > 0 && this.isWithinShare(this.interactive.firstTag)
    );
  }

  override get owesBatch(): boolean {
    return this.batch.size > 0 && this.shares.isBatchStarved;
  }

  override hasPrecedence(item: WorkItem): boolean {
    return (
      item.workClass === WorkClass.Interactive &&
      this.isWithinShare(this.accounts.of(item).finishTag)
    );
  }

  override mayOvertake(item: WorkItem): boolean {
    return this.hasPrecedence(item) ? !this.precedenceWaits : this.size === 0;
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
    return this.shares.owesBatch || !this.precedenceWaits
      ? this.batch.peek()
      : this.interactive.peek();
  }

  override remove(requestId: string): boolean {
    return this.interactive.remove(requestId) || this.batch.remove(requestId);
  }

  override charge(item: WorkItem): void {
    const account = this.accounts.of(item);
    const tokens = chargeOf(item);
    this.accounts.charge(account, tokens);
    this.retag(account);
    this.shares.charge(item.workClass, tokens, this.batch.size > 0);
  }

  override settle(item: WorkItem, usedTokens: number): void {
    const account = this.accounts.of(item);
    const unused = chargeOf(item) - usedTokens;
    this.accounts.giveBack(account, unused);
    this.retag(account);
    this.shares.giveBack(item.workClass, unused);
  }

  override ahead(item: WorkItem): Backlog {
    const account = this.accounts.of(item);
    if (item.workClass === WorkClass.Interactive) {
      return sum(
        this.interactive.ahead(account),
        this.batchBefore(account.finishTag),
      );
    }
    // Interactive work that comes meanwhile goes first.
    return sum(
      this.interactive.backlog,
      scaled(this.batch.ahead(account), 1 / this.shares.batchShare),
    );
  }

  private isWithinShare(tag: number): boolean {
    return this.batch.size === 0 || this.lead(tag) <= 0;
  }

  /** By how much a tag lies beyond the precedence of interactive work. */
  private lead(tag: number): number {
    const allowed = PRECEDENCE_REQUESTS * this.accounts.meanRequestStep;
    return tag - (this.batch.firstTag + allowed);
  }

  /** Batch work that others get before an organisation ahead of its share. */
  private batchBefore(tag: number): Backlog {
    if (this.isWithinShare(tag)) {
      return NO_BACKLOG;
    }
    const requestsEach = this.lead(tag) / this.accounts.meanRequestStep;
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
