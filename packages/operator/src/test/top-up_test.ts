import {Fate, StepError} from '@wisteriadeal/platform';
import {ledgerStreamOf} from '@wisteriadeal/ledger';
import {fc, it as property} from '@fast-check/vitest';
import {describe, expect, it} from 'vitest';

import {topUp, TopUpOutcome, type TopUpResult} from '../top-up.js';
import {LEDGER_STREAMS, createMemoryLog, PATIENCE, settle} from './fixtures.js';

function request(entryId: string, tokens: number) {
  return {
    organisation: 'kigali-bar-school',
    tokens,
    entryId,
    operator: 'aline',
    reason: 'invoice',
    ledgerStreams: LEDGER_STREAMS,
    patience: PATIENCE,
  };
}

describe('topUp', () => {
  it('credits, and says so', async () => {
    const {clock, log} = createMemoryLog();
    const result = await topUp(log, clock, request('invoice-1', 500));
    expect(result).toEqual({
      outcome: TopUpOutcome.Credited,
      entryId: 'invoice-1',
      creditedTokens: 500,
      unallocatedTokens: 500,
    });
  });

  it.each([0, -1, 0.5, 2 ** 53])('refuses %d tokens', async tokens => {
    const {clock, log} = createMemoryLog();
    await expect(topUp(log, clock, request('x', tokens))).rejects.toThrow(
      RangeError,
    );
  });

  // The operator's terminal shows nothing, since the answer was lost; the
  // operator runs the same line again. A second credit would be money that
  // nobody paid. The repeat reads the log, finds the identifier, appends nothing.
  it('does nothing when repeated, and says so', async () => {
    const {clock, store, log} = createMemoryLog();
    await topUp(log, clock, request('invoice-1', 500));
    const repeat = await topUp(log, clock, request('invoice-1', 500));
    expect(repeat.outcome).toBe(TopUpOutcome.AlreadyCredited);
    expect(repeat.creditedTokens).toBe(500);
    const stream = ledgerStreamOf('kigali-bar-school', LEDGER_STREAMS);
    expect(store.endOffset(stream)).toBe(1);
  });

  // The log is away from the start. The operator is told that nothing was done.
  it('says that nothing was done when the log was never reached', async () => {
    const {clock, store, log} = createMemoryLog();
    store.faults.outage = true;
    const failure = await settle(clock, topUp(log, clock, request('i', 5)));
    expect((failure as StepError).fate).toBe(Fate.NotDone);
  });

  // The log can be read and refuses every append. Its refusals prove that nothing
  // stands, so the operator may use any identifier next time.
  it('says that nothing was done when every append was refused', async () => {
    const {clock, log} = createMemoryLog();
    log.append = () =>
      Promise.reject(
        new StepError('append', 'memory log', Fate.NotDone, 'HTTP 429'),
      );
    const failure = await settle(clock, topUp(log, clock, request('i', 5)));
    expect((failure as StepError).fate).toBe(Fate.NotDone);
    expect((failure as StepError).reason).toBe('HTTP 429');
  });

  // Any number of answers is lost, in runs that are repeated until one of them
  // ends well. The budget must rise by each invoice once.
  property.prop([fc.array(fc.integer({min: 0, max: 4}), {maxLength: 6})], {
    seed: 7,
    numRuns: 50,
  })(
    'credits each identifier once, whatever is lost',
    async lostResponseCounts => {
      const {clock, store, log} = createMemoryLog();
      for (const [index, loseAnswers] of lostResponseCounts.entries()) {
        store.faults.loseAnswers = loseAnswers;
        const repeatedRequest = request(`invoice-${index}`, 100);
        const outcomes = [
          await settle(clock, topUp(log, clock, repeatedRequest)),
          await settle(clock, topUp(log, clock, repeatedRequest)),
        ];
        expect(
          outcomes.map(outcome => (outcome as TopUpResult).outcome),
        ).toEqual([TopUpOutcome.Credited, TopUpOutcome.AlreadyCredited]);
      }
      store.faults.loseAnswers = 0;
      const last = await topUp(log, clock, request('last', 1));
      expect(last.creditedTokens).toBe(lostResponseCounts.length * 100 + 1);
    },
  );
});
