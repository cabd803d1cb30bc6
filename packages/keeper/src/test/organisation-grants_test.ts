import {create} from '@bufbuild/protobuf';
import {RequestReservationSchema} from '@wisteriadeal/schema';
import {FakeClock} from '@wisteriadeal/stand-ins';
import {describe, expect, it} from 'vitest';

import {OrganisationGrants, ReserveOutcome} from '../organisation-grants.js';
import {Acknowledgement} from '../witness-link.js';

const RESERVE_TIMEOUT_MILLISECONDS = 2_000;

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
  return grants.reserve(reservation, RESERVE_TIMEOUT_MILLISECONDS);
}

describe('OrganisationGrants', () => {
  // Guards against callers that wait two seconds for a certain refusal. The
  // budget is nearly spent and the request needs more than the remainder, so
  // waiting can't help. The fake clock does not advance, so a holder that waits
  // never answers.
  it('refuses at once a bound that the remaining budget does not cover', async () => {
    const answer = await reserveBound(new FakeClock(), 100, 99);
    expect(answer.outcome).toBe(ReserveOutcome.BudgetExhausted);
  });

  // The remaining tokens are in another data centre's grant, or the opening
  // budget is not on the log yet. The request waits for them, and is refused
  // only after the timeout.
  it.each([100, undefined])(
    'waits until the timeout for tokens that may become available (%s remaining)',
    async remaining => {
      const clock = new FakeClock();
      const answer = reserveBound(clock, 100, remaining);
      expect(clock.sleeping).toBe(1);
      await clock.advance(RESERVE_TIMEOUT_MILLISECONDS);
      expect((await answer).outcome).toBe(ReserveOutcome.BudgetExhausted);
    },
  );
});
