import {expect, it} from 'vitest';

import {BudgetFold} from '../budget-fold.js';
import {foldAfterDrop} from '../dropped-records.js';
import {allocatedTokens, GrantCeilings} from '../grant-ceilings.js';

const SCHOOL = 'school';
const PREPAID = 1_000;
const BUDGETS = new Map([[SCHOOL, PREPAID]]);

/** A fold in which a process holds a grant and an ended one was charged. */
function foldWith(outstanding: number, charged = 0): BudgetFold {
  const fold = new BudgetFold(2);
  const holder = {
    incarnation: 'one',
    host: 'one',
    address: 'one',
    dataCenter: '',
    region: '',
    lastSequence: 1,
    grants: new Map(),
  };
  fold.addHolder(holder);
  fold.setGrant(holder, SCHOOL, {outstanding, held: outstanding});
  fold.charge(SCHOOL, charged);
  return fold;
}

it('lets grants be used up to the ceiling, and returned tokens again', () => {
  const ceilings = new GrantCeilings();
  expect(ceilings.mayUse(foldWith(1), SCHOOL)).toBe(false);
  ceilings.replace(ceilings.raised(new BudgetFold(), BUDGETS));
  expect(ceilings.mayUse(foldWith(200, 50), SCHOOL)).toBe(true);
  expect(ceilings.mayUse(foldWith(201, 50), SCHOOL)).toBe(false);
  expect(ceilings.mayUse(foldWith(100, 50), SCHOOL)).toBe(true);
});

it('raises ceilings ahead of the grants that would wait for them', () => {
  const ceilings = new GrantCeilings();
  expect(ceilings.isNear(new BudgetFold(), SCHOOL, PREPAID)).toBe(true);
  ceilings.replace(ceilings.raised(new BudgetFold(), BUDGETS));
  expect(ceilings.isNear(foldWith(100), SCHOOL, PREPAID)).toBe(false);
  expect(ceilings.isNear(foldWith(200), SCHOOL, PREPAID)).toBe(true);
  ceilings.replace(ceilings.raised(foldWith(200), BUDGETS));
  expect(ceilings.isNear(foldWith(200), SCHOOL, PREPAID)).toBe(false);
});

it('needs no more ceilings at the end of a budget', () => {
  // Guards against a write for each grant of an organisation that has little left.
  const ceilings = new GrantCeilings();
  ceilings.replace(ceilings.raised(foldWith(990), BUDGETS));
  expect(ceilings.isNear(foldWith(1_000), SCHOOL, PREPAID)).toBe(false);
  expect(ceilings.mayUse(foldWith(1_000), SCHOOL)).toBe(true);
});

it('never lowers a ceiling up to which other holders may use grants', () => {
  // Guards against a lowered budget, or returns, after which a gap charges less than was
  // used.
  const ceilings = new GrantCeilings();
  ceilings.replace(new Map([[SCHOOL, 700]]));
  const raised = ceilings.raised(foldWith(100), new Map([[SCHOOL, 200]]));
  expect(raised.get(SCHOOL)).toBe(700);
});

it('charges all tokens below the ceilings after a gap, and closes all holders', () => {
  const fold = foldWith(100, 50);
  const resumed = foldAfterDrop(fold, new Map([[SCHOOL, 250]]), 9);
  expect(resumed.nextOffset).toBe(9);
  expect(allocatedTokens(resumed, SCHOOL)).toBe(250);
  expect(resumed.isOpen('one')).toBe(false);
  expect(allocatedTokens(fold, SCHOOL)).toBe(150);
});

it('charges what is allocated beyond the ceilings after a gap', () => {
  const resumed = foldAfterDrop(foldWith(300), new Map([[SCHOOL, 250]]), 9);
  expect(allocatedTokens(resumed, SCHOOL)).toBe(300);
});

it('charges a whole budget if the use of grants had no ceiling', () => {
  const fold = foldWith(100, 300);
  const budget = fold.organisations.get(SCHOOL);
  if (budget !== undefined) {
    budget.prepaid = PREPAID;
  }
  expect(foldAfterDrop(fold, undefined, 9).view(SCHOOL)?.unallocated).toBe(0);
});
