import type {BudgetView} from '@wisteriadeal/budgets';
import type {Clock} from '@wisteriadeal/platform';

import type {BudgetReplica} from './budget-replica.js';
import type {OrganisationBudget} from './organisation-budget.js';
import type {StoreHealth} from './store-health.js';
import {BudgetRefusal} from './token-waiters.js';

/** All budgets as this process holds them, beside what the log says of each. */
export class BudgetRegistry {
  private readonly budgets = new Map<string, OrganisationBudget>();

  constructor(
    private readonly replica: BudgetReplica,
    readonly health: StoreHealth,
    private readonly clock: Clock,
  ) {}

  /** Every organisation's. */
  get all(): readonly OrganisationBudget[] {
    return [...this.budgets.values()];
  }

  /** One organisation's; undefined where it has none. */
  get(organisation: string): OrganisationBudget | undefined {
    return this.budgets.get(organisation);
  }

  /** Adds an organisation's budget. */
  add(budget: OrganisationBudget): void {
    this.budgets.set(budget.name, budget);
  }

  /** A budget as the log is known; undefined before any grant. */
  view(organisation: string): BudgetView | undefined {
    return this.replica.fold.view(organisation);
  }

  /** Now, on the monotonic clock, milliseconds. */
  now(): number {
    return this.clock.monotonicMilliseconds();
  }

  /** What is known of an organisation's budget here, for dumps. */
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
   * Why a request got no tokens in time. Load: a data centre is cut off, and calls to
   * the store have not given up yet. Harm of naming others' hands while the log is
   * known to have enough: callers come back after 0.6 s, into the same outage.
   */
  timeoutRefusal(budget: OrganisationBudget, bound: number): BudgetRefusal {
    const view = this.view(budget.name);
    return this.health.isAway || budget.expectsGrant(view, bound)
      ? BudgetRefusal.StoreUnavailable
      : BudgetRefusal.HeldElsewhere;
  }
}
