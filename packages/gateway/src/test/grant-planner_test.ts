import {BudgetFold, DemandSizing} from '@wisteriadeal/budgets';
import {EventLog, SystemClock} from '@wisteriadeal/runtime';
import {LogLevel} from '@wisteriadeal/schema';
import {beforeEach, describe, expect, it} from 'vitest';

import type {BudgetChange} from '../budget-codec.js';
import type {BudgetJournal} from '../budget-journal.js';
import type {BudgetReplica} from '../budget-replica.js';
import type {GrantBorrower} from '../grant-borrower.js';
import {GrantPlanner} from '../grant-planner.js';
import {OrganisationBudget} from '../organisation-budget.js';
import {BudgetRefusal} from '../token-waiters.js';

const PREPAID = 100_000;
const POOLED_PART = 0.5;
const BOUND = 2_500;
const AVAILABLE = 2_400;
const LIMIT = {milliseconds: 1_000, refusal: () => BudgetRefusal.HeldElsewhere};

describe('GrantPlanner', () => {
  let asked: BudgetChange[];
  let planner: GrantPlanner;
  let budget: OrganisationBudget;

  beforeEach(() => {
    asked = [];
    const journal = {
      add: (change: BudgetChange) => {
        asked.push(change);
      },
    };
    const clock = new SystemClock();
    planner = new GrantPlanner(
      journal as unknown as BudgetJournal,
      {fold: new BudgetFold()} as unknown as BudgetReplica,
      {} as unknown as GrantBorrower,
      clock,
      EventLog.create(LogLevel.ERROR, {}, () => undefined),
      new DemandSizing({pooledPart: POOLED_PART, seconds: 10}),
      POOLED_PART,
    );
    budget = new OrganisationBudget('school', PREPAID, 1, clock);
    budget.credit(AVAILABLE);
  });

  it('asks the log only for the shortfall of a waiting request', async () => {
    // Asking for the whole bound is denied when no single share covers it.
    const reserved = budget.reserveWhenAvailable(BOUND, LIMIT);
    planner.plan(budget);
    expect(asked).toMatchObject([
      {case: 'requested', value: {least: BOUND - AVAILABLE}},
    ]);
    budget.credit(BOUND - AVAILABLE);
    expect(await reserved).toMatchObject({reservation: {bound: BOUND}});
  });

  it('does not count promised tokens as available to a waiting request', async () => {
    // Guards against serving a new request with the tokens of one that has begun.
    budget.promise(AVAILABLE);
    const reserved = budget.reserveWhenAvailable(BOUND, LIMIT);
    planner.plan(budget);
    expect(asked).toMatchObject([{case: 'requested', value: {least: BOUND}}]);
    budget.credit(BOUND);
    expect(await reserved).toMatchObject({reservation: {bound: BOUND}});
    expect(budget.account.available).toBe(AVAILABLE);
  });
});
