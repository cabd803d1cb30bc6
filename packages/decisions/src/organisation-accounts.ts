import {OrganisationAccount} from './organisation-flow.js';
import type {WorkItem} from './work.js';

/**
 * Number of accounts at which the first sweep runs. Later sweeps run each time
 * the number has doubled, and remove accounts that have used no more than their
 * share.
 */
const ACCOUNTS_BEFORE_FIRST_SWEEP = 64;

/**
 * Smoothing factor of the mean charge, which covers about the last hundred
 * requests.
 */
const SMOOTHING_FACTOR = 0.01;

/**
 * Maximum number of tokens that a request may use. This amount is charged when
 * it gets a slot.
 */
export function maximumTokensOf(item: WorkItem): number {
  return item.promptTokens + item.maximumOutputTokens;
}

/**
 * Start-time fair queueing between organisations. Each organisation has a
 * virtual time up to which it has received its share. A request advances it by
 * tokens over weight, so shares are by tokens and not by requests. An
 * organisation that was idle restarts at the current virtual time: being idle
 * earns no credit, and using idle capacity costs none.
 */
export class OrganisationAccounts {
  private readonly accounts = new Map<string, OrganisationAccount>();
  private virtualTime = 0;
  private sweepAt = ACCOUNTS_BEFORE_FIRST_SWEEP;
  private meanStep = 0;

  /** Mean advance of an organisation's virtual time per request. */
  get meanRequestStep(): number {
    return this.meanStep;
  }

  of(item: WorkItem): OrganisationAccount {
    const existing = this.accounts.get(item.organisation);
    if (existing !== undefined) {
      return existing;
    }
    this.sweep();
    const account = new OrganisationAccount(item.organisation, item.weight);
    account.finishTag = this.virtualTime;
    this.accounts.set(item.organisation, account);
    return account;
  }

  /** Marks an organisation that had no queued requests as waiting again. */
  activate(account: OrganisationAccount, weight: number): void {
    account.weight = weight;
    account.finishTag = Math.max(account.finishTag, this.virtualTime);
  }

  charge(account: OrganisationAccount, tokens: number): void {
    this.virtualTime = Math.max(this.virtualTime, account.finishTag);
    const step = tokens / account.weight;
    account.finishTag += step;
    this.meanStep += SMOOTHING_FACTOR * (step - this.meanStep);
  }

  /** Refunds the unused part of a charge, which is an upper bound. */
  refund(account: OrganisationAccount, tokens: number): void {
    account.finishTag -= tokens / account.weight;
  }

  /** Keeps memory proportional to the number of organisations being served. */
  private sweep(): void {
    if (this.accounts.size < this.sweepAt) {
      return;
    }
    for (const account of this.accounts.values()) {
      if (account.finishTag < this.virtualTime) {
        this.accounts.delete(account.organisation);
      }
    }
    this.sweepAt = Math.max(
      ACCOUNTS_BEFORE_FIRST_SWEEP,
      2 * this.accounts.size,
    );
  }
}
