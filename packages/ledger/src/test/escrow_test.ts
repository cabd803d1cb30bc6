import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {LedgerFold} from '../ledger-fold.js';
import {EscrowModel, StepKind, type Step} from './escrow-model.js';

const SEED = 20_261_202;
const RUNS = 240;
const MINIMUM_ACTORS = 3;
const MAXIMUM_ACTORS = 4;
const MAXIMUM_AMOUNT = 12;

const kinds = Object.values(StepKind).filter(
  (kind): kind is StepKind => typeof kind === 'number',
);

const step: fc.Arbitrary<Step> = fc.record({
  kind: fc.constantFrom(
    ...kinds,
    // The steps of a request are weighted, so that runs reach deep states.
    StepKind.Grant,
    StepKind.Read,
    StepKind.Read,
    StepKind.Reserve,
    StepKind.Reserve,
    StepKind.Deliver,
    StepKind.Deliver,
    StepKind.Deliver,
    StepKind.Settle,
    StepKind.Read,
    StepKind.Reserve,
    StepKind.Deliver,
    StepKind.Nominate,
    StepKind.AppendNomination,
    StepKind.Reclaim,
    StepKind.ReleaseInherited,
    StepKind.ReleaseInherited,
  ),
  actor: fc.nat(MAXIMUM_ACTORS - 1),
  pick: fc.nat(1_000),
  amount: fc.integer({min: 1, max: MAXIMUM_AMOUNT}),
});

const steps = fc.array(step, {minLength: 100, maxLength: 400});
/** Grants with several nominees at once need at least four keepers. */
const actors = fc.integer({min: MINIMUM_ACTORS, max: MAXIMUM_ACTORS});

function createModel(actorCount: number): EscrowModel {
  const model = new EscrowModel(actorCount);
  model.step({kind: StepKind.TopUp, actor: 0, pick: 0, amount: 100});
  return model;
}

function totalCharges({chargesByRequest}: EscrowModel): number {
  return [...chargesByRequest.values()]
    .flat()
    .reduce((sum, tokens) => sum + tokens, 0);
}

function expectOneChargePerRequest({chargesByRequest}: EscrowModel): void {
  for (const charges of chargesByRequest.values()) {
    expect(charges).toHaveLength(1);
  }
}

describe('escrow', () => {
  // Guards against serving callers beyond their budget when holders, witnesses
  // and the log take steps in any order: records are repeated after lost
  // answers, readers lag as in a partition, channels break, and witnesses fence
  // holders that are alive and continue.
  it('never commits more tokens than were credited, at any step', () => {
    fc.assert(
      fc.property(actors, steps, (actorCount, sequence) => {
        const model = createModel(actorCount);
        for (const next of sequence) {
          model.step(next);
          const {creditedTokens, unallocatedTokens, billedTokens} =
            model.referenceFold.totals('org');
          expect(creditedTokens).toBe(model.toppedUpTokens);
          expect(model.committedTokens).toBeLessThanOrEqual(creditedTokens);
          const heldTokens = model.referenceFold
            .grants('org')
            .reduce((sum, grant) => sum + grant.tokens - grant.billedTokens, 0);
          expect(unallocatedTokens + heldTokens).toBe(
            creditedTokens - billedTokens,
          );
          expect(totalCharges(model)).toBe(billedTokens);
        }
      }),
      {seed: SEED, numRuns: RUNS},
    );
  });

  // Guards against lost bills after any of these failures. Once the network has
  // recovered, every dispatched request has exactly one bill, because the late
  // bills of a holder count against the reservations that its witness listed.
  it('bills every dispatched request once after the network recovers', () => {
    fc.assert(
      fc.property(actors, steps, (actorCount, sequence) => {
        const model = createModel(actorCount);
        sequence.forEach(next => {
          model.step(next);
        });
        model.recover();
        for (const requestId of model.dispatched.keys()) {
          expect(model.referenceFold.isBilled('org', requestId)).toBe(true);
        }
        expectOneChargePerRequest(model);
      }),
      {seed: SEED, numRuns: RUNS},
    );
  });

  // Guards against tokens that nobody can spend or reclaim after all keepers but
  // one are lost: that one may be named as the witness by the log, or nominated
  // by a holder that could not write its entry to the log any more.
  it('leaves no tokens in grants of lost holders with a live witness or nominee', () => {
    fc.assert(
      fc.property(
        actors,
        steps,
        fc.nat(MAXIMUM_ACTORS - 1),
        (actorCount, sequence, survivor) => {
          const model = createModel(actorCount);
          sequence.forEach(next => {
            model.step(next);
          });
          model.continueAlone(survivor);
          expect(model.strandedGrants(survivor)).toEqual([]);
          expect(model.committedTokens).toBeLessThanOrEqual(
            model.referenceFold.totals('org').creditedTokens,
          );
          expectOneChargePerRequest(model);
        },
      ),
      {seed: SEED, numRuns: RUNS},
    );
  });

  // Old records expire, so a new keeper starts from a checkpoint. Guards
  // against a state or verdicts that differ from those of a keeper that read
  // all records.
  it('reaches the same state from a checkpoint as from the first record', () => {
    fc.assert(
      fc.property(
        actors,
        steps,
        fc.nat(),
        (actorCount, sequence, checkpointSelector) => {
          const model = createModel(actorCount);
          sequence.forEach(next => {
            model.step(next);
          });
          const checkpointOffset = checkpointSelector % model.log.length;
          const fullFold = new LedgerFold();
          let restoredFold: LedgerFold | undefined;
          model.log.forEach((batch, offset) => {
            if (offset === checkpointOffset) {
              restoredFold = LedgerFold.fromCheckpoint(fullFold.toCheckpoint());
            }
            const verdicts = fullFold.applyBatch(offset, batch);
            if (restoredFold !== undefined) {
              expect(restoredFold.applyBatch(offset, batch)).toEqual(verdicts);
            }
          });
          expect(restoredFold?.toCheckpoint()).toEqual(fullFold.toCheckpoint());
        },
      ),
      {seed: SEED, numRuns: RUNS / 4},
    );
  });
});
