import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {LedgerFold} from '../ledger-fold.js';
import {EscrowModel, StepKind, type Step} from './escrow-model.js';

const SEED = 20_261_202;
const RUNS = 240;
const ACTORS = 3;
const LARGEST_AMOUNT = 12;

const kinds = Object.values(StepKind).filter(
  (kind): kind is StepKind => typeof kind === 'number',
);

const step: fc.Arbitrary<Step> = fc.record({
  kind: fc.constantFrom(
    ...kinds,
    // What requests do most, so that runs get far.
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
  amount: fc.integer({min: 1, max: LARGEST_AMOUNT}),
});

const steps = fc.array(step, {minLength: 100, maxLength: 400});

function start(): EscrowModel {
  const model = new EscrowModel(ACTORS);
  model.step({kind: StepKind.TopUp, actor: 0, pick: 0, amount: 100});
  return model;
}

describe('escrow', () => {
  // Holders, witnesses and the log take steps in any order: records repeat after
  // lost answers, readers lag as in a partition, channels break, witnesses fence
  // holders that are alive and go on. A caller must never be served past the
  // budget, so what is spent or can yet be spent never exceeds what was credited.
  it('never lets more be spent than was credited, at any step', () => {
    fc.assert(
      fc.property(steps, sequence => {
        const model = start();
        for (const next of sequence) {
          model.step(next);
          const {creditedTokens, unallocatedTokens, billedTokens} =
            model.truth.totals('org');
          expect(creditedTokens).toBe(model.paidTokens);
          expect(model.committedTokens).toBeLessThanOrEqual(creditedTokens);
          const held = model.truth
            .grants('org')
            .reduce((sum, grant) => sum + grant.tokens - grant.billedTokens, 0);
          expect(unallocatedTokens + held).toBe(creditedTokens - billedTokens);
        }
      }),
      {seed: SEED, numRuns: RUNS},
    );
  });

  // The network heals after any of that, and every bill reaches the log: each
  // request that was dispatched has exactly one bill, because what the holder
  // says late counts against what its witness listed.
  it('bills every dispatched request once after the network heals', () => {
    fc.assert(
      fc.property(steps, sequence => {
        const model = start();
        sequence.forEach(next => {
          model.step(next);
        });
        model.heal();
        for (const requestId of model.dispatched.keys()) {
          expect(model.truth.isBilled('org', requestId)).toBe(true);
        }
      }),
      {seed: SEED, numRuns: RUNS},
    );
  });

  // Old records expire; a fresh keeper starts from a checkpoint in the middle.
  // It must reach the same state and verdicts as one that read everything.
  it('folds from a checkpoint as from the start', () => {
    fc.assert(
      fc.property(steps, fc.nat(), (sequence, cutAt) => {
        const model = start();
        sequence.forEach(next => {
          model.step(next);
        });
        const cut = cutAt % model.log.length;
        const whole = new LedgerFold();
        let shortened: LedgerFold | undefined;
        model.log.forEach((batch, offset) => {
          if (offset === cut) {
            shortened = LedgerFold.fromCheckpoint(whole.toCheckpoint());
          }
          const verdicts = whole.applyBatch(offset, batch);
          if (shortened !== undefined) {
            expect(shortened.applyBatch(offset, batch)).toEqual(verdicts);
          }
        });
        expect(shortened?.toCheckpoint()).toEqual(whole.toCheckpoint());
      }),
      {seed: SEED, numRuns: RUNS / 4},
    );
  });
});
