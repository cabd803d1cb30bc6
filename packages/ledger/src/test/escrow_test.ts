import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {LedgerFold} from '../ledger-fold.js';
import {EscrowModel, StepKind, type Step} from './escrow-model.js';

const SEED = 20_261_202;
const RUNS = 240;
const ACTORS = 3;
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
  ),
  actor: fc.nat(ACTORS - 1),
  pick: fc.nat(1_000),
  amount: fc.integer({min: 1, max: MAXIMUM_AMOUNT}),
});

const steps = fc.array(step, {minLength: 100, maxLength: 400});

function createModel(): EscrowModel {
  const model = new EscrowModel(ACTORS);
  model.step({kind: StepKind.TopUp, actor: 0, pick: 0, amount: 100});
  return model;
}

describe('escrow', () => {
  // Guards against serving callers beyond their budget when holders, witnesses
  // and the log take steps in any order: records are repeated after lost
  // answers, readers lag as in a partition, channels break, and witnesses fence
  // holders that are alive and continue.
  it('never commits more tokens than were credited, at any step', () => {
    fc.assert(
      fc.property(steps, sequence => {
        const model = createModel();
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
      fc.property(steps, sequence => {
        const model = createModel();
        sequence.forEach(next => {
          model.step(next);
        });
        model.recover();
        for (const requestId of model.dispatched.keys()) {
          expect(model.referenceFold.isBilled('org', requestId)).toBe(true);
        }
      }),
      {seed: SEED, numRuns: RUNS},
    );
  });

  // Old records expire, so a new keeper starts from a checkpoint. Guards
  // against a state or verdicts that differ from those of a keeper that read
  // all records.
  it('reaches the same state from a checkpoint as from the first record', () => {
    fc.assert(
      fc.property(steps, fc.nat(), (sequence, checkpointSelector) => {
        const model = createModel();
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
      }),
      {seed: SEED, numRuns: RUNS / 4},
    );
  });
});
