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

/**
 * Links whose witnesses give these answers in turn, and then repeat the last
 * one.
 */
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
  const terms = {
    grantId: 'g1',
    organisation: 'org',
    tokens: 1_000,
    holder: 'holder',
    dataCenter: 'a',
  };
  const holding = new GrantHolding(terms, witness);
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
  // Guards against answered requests without a bill. A host got its grant while
  // it had no peer. A second host becomes its candidate, and the data centre
  // loses the log before the change of witness is appended. If the holder dies,
  // the log names no witness, so no keeper can reclaim the grant and submit the
  // candidate's bills.
  it('does not rely on the acknowledgement of a witness that the log has not named', async () => {
    expect(
      await commit(
        holdingOf('', 'candidate'),
        BudgetPreference.AVOID_UNCLEAR_BILLS,
      ),
    ).toBe(Acknowledgement.Unconfirmed);
  });

  it('applies a change without a witness or the log under AVOID_REFUSALS', async () => {
    expect(
      await commit(holdingOf('', 'candidate'), BudgetPreference.AVOID_REFUSALS),
    ).toBe(Acknowledgement.Applied);
  });

  it('relies on the acknowledgement of the witness in force', async () => {
    expect(
      await commit(
        holdingOf('witness', 'candidate'),
        BudgetPreference.AVOID_UNCLEAR_BILLS,
      ),
    ).toBe(Acknowledgement.Applied);
  });

  it('sends the full book to a witness that has no book of the grant', async () => {
    // Guards against refusals when a witness has dropped the book of an open
    // grant.
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

  it('does not treat a grant as fenced if its witness has no book of it', async () => {
    // Guards against a holder that drops a grant which is still open on the
    // log.
    const acknowledgement = await commit(
      holdingOf('witness', ''),
      BudgetPreference.AVOID_UNCLEAR_BILLS,
      linksAnswering([Acknowledgement.UnknownGrant]),
    );
    expect(acknowledgement).toBe(Acknowledgement.Unconfirmed);
  });
});
