import {OrganisationAccount} from './organisation-flow.js';
import type {WorkItem} from './work.js';

/** Accounts that owe nothing are dropped whenever their number has doubled. */
const ACCOUNTS_BEFORE_FIRST_SWEEP = 64;

/** The mean charge follows about the last hundred requests. */
const SAMPLE_SHARE = 0.01;

/** What a request may use, in tokens: charged when it gets a slot. */
export function chargeOf(item: WorkItem): number {
  return item.promptTokens + item.maximumOutputTokens;
}

/**
 * Start-time fair queueing between organisations. Each has a virtual time until
 * which it has had its share; a request moves it on by tokens over weight, so
 * that shares hold by tokens and not by requests. An organisation that comes
 * back from idleness starts at the present virtual time: idleness earns no
 * credit, and use of idle capacity costs none.
 */
export class OrganisationAccounts {
  private readonly accounts = new Map<string, OrganisationAccount>();
  private virtualTime = 0;
  private sweepAt = ACCOUNTS_BEFORE_FIRST_SWEEP;
  private meanStep = 0;

  /** How far one request moves an organisation on, in the mean. */
  get meanRequestStep(): number {
    return this.meanStep;
  }

  of(item: WorkItem): OrganisationAccount {
    const known = this.accounts.get(item.organisation);
    if (known !== undefined) {
      return known;
    }
    this.sweep();
    const account = new OrganisationAccount(item.organisation, item.weight);
    account.finishTag = this.virtualTime;
    this.accounts.set(item.organisation, account);
    return account;
  }

  /** An organisation of which nothing waited has work again. */
  activate(account: OrganisationAccount, weight: number): void {
    account.weight = weight;
    account.finishTag = Math.max(account.finishTag, this.virtualTime);
  }

  charge(account: OrganisationAccount, tokens: number): void {
    this.virtualTime = Math.max(this.virtualTime, account.finishTag);
    const step = tokens / account.weight;
    account.finishTag += step;
    this.meanStep += SAMPLE_SHARE * (step - this.meanStep);
  }

  /** The charge was an upper bound: what was not used is given back. */
  giveBack(account: OrganisationAccount, tokens: number): void {
    account.finishTag -= tokens / account.weight;
  }

  /** Keeps memory in proportion to the organisations that are served. */
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
