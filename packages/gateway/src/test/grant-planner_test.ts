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
import {StoreHealth} from '../store-health.js';
import {BudgetRefusal} from '../token-waiters.js';

const PREPAID_TOKENS = 100_000;
const POOLED_PART = 0.5;
const BOUND_TOKENS = 2_500;
const AVAILABLE_TOKENS = 2_400;
/** Neither a surplus nor so few that a refill is requested. */
const IDLE_TOKENS = 500;
const LIMIT = {milliseconds: 1_000, refusal: () => BudgetRefusal.HeldElsewhere};

describe('GrantPlanner', () => {
  let changes: BudgetChange[];
  let planner: GrantPlanner;
  let budget: OrganisationBudget;

  beforeEach(() => {
    changes = [];
    const journal = {
      add: (change: BudgetChange) => {
        changes.push(change);
      },
    };
    const clock = new SystemClock();
    const events = EventLog.create(LogLevel.ERROR, {}, () => undefined);
    planner = new GrantPlanner(
      journal as unknown as BudgetJournal,
      {fold: new BudgetFold()} as unknown as BudgetReplica,
      {} as unknown as GrantBorrower,
      new StoreHealth('budgets', events),
      clock,
      events,
      new DemandSizing({pooledPart: POOLED_PART, seconds: 10}),
      POOLED_PART,
    );
    budget = new OrganisationBudget('school', PREPAID_TOKENS, 1, clock);
    budget.credit(AVAILABLE_TOKENS);
  });

  it('requests only the shortfall of a waiting request from the log', async () => {
    // Guards against a denial for the whole bound, which no single share may cover.
    const reserved = budget.reserveWhenAvailable(BOUND_TOKENS, LIMIT);
    planner.plan(budget);
    expect(changes).toMatchObject([
      {case: 'requested', value: {least: BOUND_TOKENS - AVAILABLE_TOKENS}},
    ]);
    budget.credit(BOUND_TOKENS - AVAILABLE_TOKENS);
    expect(await reserved).toMatchObject({reservation: {bound: BOUND_TOKENS}});
  });

  it('does not count promised tokens as available to a waiting request', async () => {
    // Guards against serving a new request with tokens promised to a running one.
    budget.promise(AVAILABLE_TOKENS);
    const reserved = budget.reserveWhenAvailable(BOUND_TOKENS, LIMIT);
    planner.plan(budget);
    expect(changes).toMatchObject([
      {case: 'requested', value: {least: BOUND_TOKENS}},
    ]);
    budget.credit(BOUND_TOKENS);
    expect(await reserved).toMatchObject({reservation: {bound: BOUND_TOKENS}});
    expect(budget.account.available).toBe(AVAILABLE_TOKENS);
  });

  it('requests a refill right after a report that requested nothing', () => {
    // Guards against a host without tokens in an outage that began meanwhile: the verdict
    // on the report was taken for the denial of a refill.
    budget.account.debit(AVAILABLE_TOKENS - IDLE_TOKENS);
    planner.plan(budget);
    expect(changes).toMatchObject([{case: 'requested', value: {wish: 0}}]);
    planner.applyVerdict(budget, {
      kind: 'grant',
      incarnation: 'one',
      sequence: 2,
      organisation: 'school',
      granted: 0,
    });
    budget.account.debit(IDLE_TOKENS);
    planner.plan(budget);
    expect(changes).toHaveLength(2);
  });
});
