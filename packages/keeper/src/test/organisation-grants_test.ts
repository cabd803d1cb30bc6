import {create} from '@bufbuild/protobuf';
import {RequestReservationSchema} from '@wisteriadeal/schema';
import {FakeClock} from '@wisteriadeal/stand-ins';
import {describe, expect, it} from 'vitest';

import {OrganisationGrants, ReserveOutcome} from '../organisation-grants.js';
import {Acknowledgement} from '../witness-link.js';

const LIMIT_MILLISECONDS = 2_000;

function reserveBound(
  clock: FakeClock,
  boundTokens: number,
  remaining: number | undefined,
) {
  const grants = new OrganisationGrants(
    'org',
    {commit: () => Promise.resolve(Acknowledgement.Unconfirmed)},
    clock,
    () => undefined,
    () => remaining,
  );
  const reservation = create(RequestReservationSchema, {
    reservation: {requestId: 'r1', boundTokens},
  });
  return grants.reserve(reservation, LIMIT_MILLISECONDS);
}

describe('OrganisationGrants', () => {
  // A budget is nearly spent, and every caller's request needs more than the
  // whole rest. Nothing that the holder could wait for would help; a caller that
  // is told only after two seconds has lost them. The clock here stands still,
  // so a holder that waits never answers.
  it('refuses at once what the whole rest of the budget does not cover', async () => {
    const answer = await reserveBound(new FakeClock(), 100, 99);
    expect(answer.outcome).toBe(ReserveOutcome.BudgetExhausted);
  });

  // The rest stands in another data centre's grant, or the opening budget is
  // still on its way to the log. The caller's request waits for it, and is
  // refused only when the limit has passed.
  it.each([100, undefined])(
    'waits for tokens that may come (%s remaining)',
    async remaining => {
      const clock = new FakeClock();
      const answer = reserveBound(clock, 100, remaining);
      expect(clock.sleeping).toBe(1);
      await clock.advance(LIMIT_MILLISECONDS);
      expect((await answer).outcome).toBe(ReserveOutcome.BudgetExhausted);
    },
  );
});
