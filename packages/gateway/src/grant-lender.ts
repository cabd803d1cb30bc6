import {loanAmount} from '@wisteriadeal/budgets';
import type {EventLog} from '@wisteriadeal/runtime';

import type {BudgetJournal} from './budget-journal.js';
import type {BudgetRegistry} from './budget-registry.js';
import type {
  GrantHandover,
  LoanAnswer,
  LoanHolder,
  LoanRequest,
} from './loan-peers.js';
import type {OrganisationBudget} from './organisation-budget.js';
import type {TokenReservations} from './token-reservations.js';

/** The loan service of this process, which other holders call. */
export class GrantLender implements LoanHolder {
  private isClosing = false;

  constructor(
    private readonly registry: BudgetRegistry,
    private readonly journal: BudgetJournal,
    private readonly reservations: TokenReservations,
    private readonly events: EventLog,
  ) {}

  /** Stops lending and accepting tokens. */
  close(): void {
    this.isClosing = true;
  }

  /**
   * Lends tokens to another holder and deducts them permanently from this account. A
   * lender that reaches the store requests the missing tokens there, since the store may
   * be unreachable for only some hosts. It does not do so for a borrower that has
   * requested them from the store itself: both would be granted tokens for one need, and
   * other requests would be refused for lack of tokens that are not used.
   */
  async lend(request: LoanRequest): Promise<LoanAnswer> {
    const {organisation, least, wish, borrower, loan, inHandOnly} = request;
    const budget = this.registry.get(organisation);
    if (budget === undefined || this.isClosing) {
      return {lent: 0, left: 0};
    }
    const view = this.registry.view(organisation);
    if (
      !inHandOnly &&
      budget.account.available < least &&
      (view?.unallocated ?? 0) >= least &&
      !this.registry.health.isUnavailable
    ) {
      await this.reservations.fetchForLoan(budget, least);
    }
    const lent = budget.account.debit(loanAmount(budget.account, least, wish));
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
      this.events.info('grant lent', {
        organisation,
        borrower,
        lent,
        requested: wish,
        loan,
      });
    }
    return {lent, left: this.spareTokens(budget, least)};
  }

  /** Accepts the tokens of a process that stops while the store is unavailable. */
  takeOver({giver, given}: GrantHandover): boolean {
    if (this.isClosing || !this.journal.isOpen) {
      return false;
    }
    for (const {organisation, amount} of given) {
      this.registry.takeOver(organisation, Math.max(0, amount));
      this.events.info('grant taken over', {organisation, amount, giver});
    }
    return true;
  }

  /** Tokens left to lend; undefined if the store may grant more to this process. */
  private spareTokens(
    budget: OrganisationBudget,
    least: number,
  ): number | undefined {
    const unallocated = this.registry.view(budget.name)?.unallocated ?? 0;
    return this.registry.health.isUnavailable || unallocated < least
      ? Math.max(0, budget.account.unpromised)
      : undefined;
  }
}
