import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import type {BudgetHolder} from '../budget-holder.js';
import {HolderFleet, waitUntil} from './holder-fleet.js';

const PREPAID_TOKENS = 100_000;
const GIVEN_TOKENS = 3_000;
const NEW_SCHOOL = 'new school';

let fleet: HolderFleet;

beforeEach(() => {
  fleet = new HolderFleet(PREPAID_TOKENS);
});

afterEach(() => {
  fleet.close();
});

/** Makes the store unavailable and waits until the hosts have noticed. */
async function beginOutage(hosts: readonly string[]): Promise<void> {
  fleet.log.faults.isUnavailable = true;
  await waitUntil(() =>
    hosts.every(host =>
      fleet.events.some(
        line => line.event === 'store unavailable' && line.host === host,
      ),
    ),
  );
}

function available(holder: BudgetHolder, organisation: string): number {
  return holder.describe(organisation)?.available ?? 0;
}

describe('handover', () => {
  it('keeps accepted tokens until the organisation’s budget is configured', async () => {
    // Guards against tokens lost between two hosts: the giver has forgotten them once
    // they are accepted, and the taker has an older configuration.
    const taker = await fleet.start('one');
    await beginOutage(['one']);
    const handover = {
      giver: 'stopped',
      given: [{organisation: NEW_SCHOOL, amount: GIVEN_TOKENS}],
    };
    expect(taker.lender.takeOver(handover)).toBe(true);
    fleet.addBudget(NEW_SCHOOL, PREPAID_TOKENS);
    expect(available(taker, NEW_SCHOOL)).toBe(GIVEN_TOKENS);
  });
});
