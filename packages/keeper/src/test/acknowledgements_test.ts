import {create} from '@bufbuild/protobuf';
import {
  BeginVerdict,
  BillSchema,
  Outcome,
  SettleRequestSchema,
  type BeginAnswer,
} from '@wisteriadeal/schema';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import type {Keeper} from '../keeper.js';
import {Fleet, waitUntil, type FakeRouter} from './fleet.js';

/** More than the whole budget of the test fleet. */
const UNCOVERED_TOKENS = 200_000;

/** Sends a settlement without waiting for its acknowledgement. */
function sendSettlement(
  router: FakeRouter,
  {requestId, grantId}: BeginAnswer,
  tokens: number,
): void {
  const bill = create(BillSchema, {
    requestId,
    grantId,
    tokens,
    confirmed: true,
    outcome: Outcome.ANSWERED,
  });
  router.send({
    case: 'settle',
    value: create(SettleRequestSchema, {
      requestId,
      grantId,
      organisation: 'org',
      bill,
    }),
  });
}

function acknowledgements(router: FakeRouter): number {
  return router.received.filter(({kind}) => kind.case === 'settleAnswer')
    .length;
}

function pendingBills(keeper: Keeper): number {
  return [
    ...keeper.parts.grantManager.forOrganisation('org').holdings.values(),
  ].flatMap(({book}) => book.pendingBills).length;
}

describe('acknowledgements of settlements', () => {
  let fleet: Fleet;

  beforeEach(() => {
    fleet = new Fleet();
  });

  afterEach(async () => {
    await fleet.close();
  });

  it('does not acknowledge a repeated settlement before its bill is stored elsewhere', async () => {
    // Guards against answered requests without a bill: a router drops a bill
    // once it is acknowledged, and its holder may then be killed.
    const holder = await fleet.add('a');
    const router = fleet.router(holder);
    const answer = await router.begin('r1', 100);
    expect(answer.verdict).toBe(BeginVerdict.RESERVED);
    // Neither a witness nor the log can store the bill.
    fleet.store.faults.outage = true;
    sendSettlement(router, answer, 30);
    await waitUntil(() => pendingBills(holder) === 1);
    sendSettlement(router, answer, 30);
    // Refused at once, and answered after the settlement, which the holder
    // reads before.
    const refused = await router.begin('r2', UNCOVERED_TOKENS);
    expect(refused.verdict).toBe(BeginVerdict.BUDGET);
    expect(acknowledgements(router)).toBe(0);
    fleet.store.faults.outage = false;
    await waitUntil(() => acknowledgements(router) > 0);
    expect(fleet.ledger().totals('org').billedTokens).toBe(30);
  });
});
