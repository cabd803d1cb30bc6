import {create} from '@bufbuild/protobuf';
import {
  BookChangeSchema,
  BudgetPreference,
  RequestReservationSchema,
  type BookChange,
} from '@wisteriadeal/schema';
import {FakeClock} from '@wisteriadeal/stand-ins';
import {describe, expect, it} from 'vitest';

import {BookReplicator} from '../book-replicator.js';
import {GrantHolding} from '../grant-holding.js';
import type {LedgerAppender} from '../ledger-appender.js';
import type {LedgerReplicas} from '../ledger-replicas.js';
import type {PlatformHealth} from '../platform-health.js';
import {Acknowledgement} from '../witness-link.js';
import type {WitnessLinks} from '../witness-links.js';

/** Links to witnesses that answer so, in turn; the last answer stays. */
function linksAnswering(
  answers: readonly Acknowledgement[],
  sent: BookChange[] = [],
): WitnessLinks {
  const send = (change: BookChange) => {
    const index = Math.min(sent.length, answers.length - 1);
    sent.push(change);
    return Promise.resolve(answers[index]);
  };
  return {linkTo: () => ({send})} as unknown as WitnessLinks;
}

const acknowledgingLinks = linksAnswering([Acknowledgement.Applied]);
const unreachableLog = {isReachable: () => false} as unknown as PlatformHealth;

function holdingOf(witness: string, candidate: string): GrantHolding {
  const opening = {
    grantId: 'g1',
    organisation: 'org',
    tokens: 1_000,
    holder: 'holder',
    dataCenter: 'a',
  };
  const holding = new GrantHolding(opening, witness);
  holding.candidate = candidate;
  return holding;
}

function commit(
  holding: GrantHolding,
  preference: BudgetPreference,
  links = acknowledgingLinks,
) {
  const replicator = new BookReplicator(
    links,
    {} as unknown as LedgerAppender,
    {streamOf: () => 'ledger-0'} as unknown as LedgerReplicas,
    unreachableLog,
    new FakeClock(),
    () => preference,
  );
  const value = create(RequestReservationSchema, {
    reservation: {requestId: 'r1', boundTokens: 100},
  });
  return replicator.commit(
    holding,
    create(BookChangeSchema, {
      organisation: 'org',
      kind: {case: 'reserved', value},
    }),
  );
}

describe('BookReplicator', () => {
  // The operator sees answered requests without a bill. A host was alone when it
  // took its grant; a second one is to be its witness, and the data centre is cut
  // off before the log says so. The holder dies: the log names no witness, so that
  // nobody may reclaim the grant and bill what the second one knows.
  it('does not take the acknowledgement of a witness that the log does not name', async () => {
    expect(
      await commit(
        holdingOf('', 'candidate'),
        BudgetPreference.AVOID_UNCLEAR_BILLS,
      ),
    ).toBe(Acknowledgement.Unconfirmed);
  });

  it('goes on without one where few refusals are wanted', async () => {
    expect(
      await commit(holdingOf('', 'candidate'), BudgetPreference.AVOID_REFUSALS),
    ).toBe(Acknowledgement.Applied);
  });

  it('takes the acknowledgement of the witness in force', async () => {
    expect(
      await commit(
        holdingOf('witness', 'candidate'),
        BudgetPreference.AVOID_UNCLEAR_BILLS,
      ),
    ).toBe(Acknowledgement.Applied);
  });

  it('sends the whole book to a witness that has none', async () => {
    // Guards against refusals for a grant that its witness has only forgotten.
    const sent: BookChange[] = [];
    const answers = [Acknowledgement.UnknownGrant, Acknowledgement.Applied];
    const acknowledgement = await commit(
      holdingOf('witness', ''),
      BudgetPreference.AVOID_UNCLEAR_BILLS,
      linksAnswering(answers, sent),
    );
    expect(acknowledgement).toBe(Acknowledgement.Applied);
    expect(sent.map(({kind}) => kind.case)).toEqual(['reserved', 'opened']);
  });

  it('does not take a witness without a book for one that has fenced the grant', async () => {
    // Guards against grants that their holder drops while the log has them open.
    const acknowledgement = await commit(
      holdingOf('witness', ''),
      BudgetPreference.AVOID_UNCLEAR_BILLS,
      linksAnswering([Acknowledgement.UnknownGrant]),
    );
    expect(acknowledgement).toBe(Acknowledgement.Unconfirmed);
  });
});
