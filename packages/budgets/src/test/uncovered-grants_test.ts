import {expect, it} from 'vitest';

import {BudgetFold} from '../budget-fold.js';
import {foldAfterDrop} from '../dropped-records.js';
import {UncoveredGrants} from '../uncovered-grants.js';

const SCHOOL = 'school';
const PREPAID = new Map([[SCHOOL, 1_000]]);

function grant(granted: number) {
  return {
    kind: 'grant' as const,
    incarnation: 'one',
    sequence: 1,
    organisation: SCHOOL,
    granted,
  };
}

it('lets grants be used up to the limit of the newest checkpoint', () => {
  const uncovered = new UncoveredGrants();
  uncovered.add(grant(10), 3);
  expect(uncovered.mayUse(SCHOOL)).toBe(false);
  uncovered.cover(4, uncovered.nextLimits(new BudgetFold(), PREPAID));
  uncovered.add(grant(250), 4);
  expect(uncovered.mayUse(SCHOOL)).toBe(true);
  uncovered.add(grant(1), 5);
  expect(uncovered.mayUse(SCHOOL)).toBe(false);
  uncovered.cover(5, new Map([[SCHOOL, 1]]));
  expect(uncovered.mayUse(SCHOOL)).toBe(true);
});

it('leaves holders that know only the checkpoint before what they may still use', () => {
  // Guards against a lowered budget whose next checkpoint charges less than was used.
  const uncovered = new UncoveredGrants();
  uncovered.cover(0, new Map([[SCHOOL, 400]]));
  uncovered.add(grant(100), 0);
  const limits = uncovered.nextLimits(new BudgetFold(1), PREPAID);
  expect(limits.get(SCHOOL)).toBe(300);
});

it('charges what may have been used of dropped grants, once', () => {
  const fold = new BudgetFold(2);
  const resumed = foldAfterDrop(fold, new Map([[SCHOOL, 250]]), 9);
  expect(resumed.nextOffset).toBe(9);
  expect(resumed.view(SCHOOL)?.unallocated).toBe(-250);
  expect(fold.view(SCHOOL)).toBeUndefined();
});

it('charges all unallocated tokens if the use of grants had no limit', () => {
  const fold = new BudgetFold();
  fold.charge(SCHOOL, 300);
  const budget = fold.organisations.get(SCHOOL);
  if (budget !== undefined) {
    budget.prepaid = 1_000;
  }
  expect(foldAfterDrop(fold, undefined, 9).view(SCHOOL)?.unallocated).toBe(0);
});
