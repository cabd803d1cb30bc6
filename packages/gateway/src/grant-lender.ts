import {loanFor} from '@wisteriadeal/budgets';
import type {EventLog} from '@wisteriadeal/runtime';

import type {BudgetRegistry} from './budget-registry.js';
import type {BudgetJournal} from './budget-journal.js';
import type {GrantHandover, LoanHolder, LoanRequest} from './loan-peers.js';
import type {TokenReservations} from './token-reservations.js';

/** The side of this process that other holders call. */
export class GrantLender implements LoanHolder {
  private isClosing = false;

  constructor(
    private readonly registry: BudgetRegistry,
    private readonly journal: BudgetJournal,
    private readonly reservations: TokenReservations,
    private readonly events: EventLog,
  ) {}

  /** Gives and takes nothing from now on. */
  close(): void {
    this.isClosing = true;
  }

  /**
   * Lends to another holder; what is lent is off this account for good. A lender
   * that sees the store gets what it lacks from there: only some hosts are cut off.
   * Not for a borrower that has asked the store itself: both would be granted the same
   * need, and others would be refused for tokens that nobody uses.
   */
  async lend(request: LoanRequest): Promise<number> {
    const {organisation, least, wish, borrower, loan, inHandOnly} = request;
    const budget = this.registry.get(organisation);
    if (budget === undefined || this.isClosing) {
      return 0;
    }
    const view = this.registry.view(organisation);
    if (
      !inHandOnly &&
      budget.account.available < least &&
      (view?.unallocated ?? 0) >= least &&
      !this.registry.health.isAway
    ) {
      await this.reservations.fetchForLoan(budget, least);
    }
    const lent = budget.account.debit(loanFor(budget.account, least, wish));
    if (lent > 0) {
      this.journal.add({
        case: 'lent',
        value: {
          $typeName: 'wisteriadeal.v1.GrantLent',
          organisation,
          borrower,
          amount: lent,
          held: Math.max(0, budget.account.held),
          loan,
        },
      });
    }
    this.events.info('grant lent', {organisation, borrower, lent, wish, loan});
    return lent;
  }

  /** Takes what a process has left that stops while the store is away. */
  takeOver({giver, given}: GrantHandover): boolean {
    if (this.isClosing || !this.journal.isOpen) {
      return false;
    }
    for (const {organisation, amount} of given) {
      this.registry.get(organisation)?.credit(Math.max(0, amount));
      this.events.info('grant taken over', {organisation, amount, giver});
    }
    return true;
  }
}
