import type {BudgetView} from '@wisteriadeal/budgets';
import type {Clock} from '@wisteriadeal/platform';

import type {BudgetReplica} from './budget-replica.js';
import type {OrganisationBudget} from './organisation-budget.js';
import type {StoreHealth} from './store-health.js';
import {BudgetRefusal} from './token-waiters.js';

/** All organisations' budgets in this process, with the log's view of each. */
export class BudgetRegistry {
  private readonly budgets = new Map<string, OrganisationBudget>();
  /** Tokens taken over for organisations whose budgets are not configured here yet. */
  private readonly unclaimed = new Map<string, number>();

  constructor(
    private readonly replica: BudgetReplica,
    readonly health: StoreHealth,
    private readonly clock: Clock,
  ) {}

  /** The budgets of all organisations. */
  get all(): readonly OrganisationBudget[] {
    return [...this.budgets.values()];
  }

  /** One organisation's budget; undefined if it has none. */
  get(organisation: string): OrganisationBudget | undefined {
    return this.budgets.get(organisation);
  }

  /** Adds an organisation's budget. */
  add(budget: OrganisationBudget): void {
    this.budgets.set(budget.name, budget);
    budget.credit(this.unclaimed.get(budget.name) ?? 0);
    this.unclaimed.delete(budget.name);
  }

  /**
   * Credits tokens that another process handed over. This host's configuration may be
   * older than the other's; tokens of an unknown organisation are credited when its
   * budget is added.
   */
  takeOver(organisation: string, tokens: number): void {
    const budget = this.get(organisation);
    if (budget === undefined) {
      const before = this.unclaimed.get(organisation) ?? 0;
      this.unclaimed.set(organisation, before + tokens);
    } else {
      budget.credit(tokens);
    }
  }

  /** The budget as of the fold's offset; undefined before any grant. */
  view(organisation: string): BudgetView | undefined {
    return this.replica.fold.view(organisation);
  }

  /** Current monotonic time, milliseconds. */
  now(): number {
    return this.clock.monotonicMilliseconds();
  }

  /** This process's state of an organisation's budget, for state dumps. */
  describe(organisation: string): Readonly<Record<string, number>> | undefined {
    const budget = this.budgets.get(organisation);
    if (budget === undefined) {
      return undefined;
    }
    const {account, prepaid, configurationVersion} = budget;
    const view = this.view(organisation);
    return {
      prepaid,
      configurationVersion,
      available: account.available,
      promised: account.promised,
      reserved: account.reserved,
      spentHere: account.spent,
      unallocated: view?.unallocated ?? prepaid,
      spentKnown: view?.spent ?? 0,
      waiting: budget.waiters.count,
    };
  }

  /**
   * The reason why a request got no tokens in time. When a data centre is partitioned,
   * calls to the store may not have timed out yet. `HeldElsewhere` would be wrong then
   * if the log has enough tokens: callers would retry after 0.6 s into the same outage.
   */
  timeoutRefusal(budget: OrganisationBudget, bound: number): BudgetRefusal {
    const view = this.view(budget.name);
    return this.health.isUnavailable || budget.expectsGrant(view, bound)
      ? BudgetRefusal.StoreUnavailable
      : BudgetRefusal.HeldElsewhere;
  }
}
