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
  it('credits the tokens and returns the outcome Credited', async () => {
    const {clock, log} = createMemoryLog();
    const result = await topUp(log, clock, request('invoice-1', 500));
    expect(result).toEqual({
      outcome: TopUpOutcome.Credited,
      entryId: 'invoice-1',
      creditedTokens: 500,
      unallocatedTokens: 500,
    });
  });

  it.each([0, -1, 0.5, 2 ** 53])('rejects %d tokens', async tokens => {
    const {clock, log} = createMemoryLog();
    await expect(topUp(log, clock, request('x', tokens))).rejects.toThrow(
      RangeError,
    );
  });

  // The response was lost, so the operator sees no result and runs the same
  // command again. A second credit would be tokens without a payment. The
  // repeat reads the log, finds the identifier and appends nothing.
  it('appends nothing when repeated and returns the outcome AlreadyCredited', async () => {
    const {clock, store, log} = createMemoryLog();
    await topUp(log, clock, request('invoice-1', 500));
    const repeat = await topUp(log, clock, request('invoice-1', 500));
    expect(repeat.outcome).toBe(TopUpOutcome.AlreadyCredited);
    expect(repeat.creditedTokens).toBe(500);
    const stream = ledgerStreamOf('kigali-bar-school', LEDGER_STREAMS);
    expect(store.endOffset(stream)).toBe(1);
  });

  // The log is unreachable from the start, so nothing can have been appended.
  it('reports fate NotDone when the log was never reached', async () => {
    const {clock, store, log} = createMemoryLog();
    store.faults.outage = true;
    const failure = await settle(clock, topUp(log, clock, request('i', 5)));
    expect((failure as StepError).fate).toBe(Fate.NotDone);
  });

  // The log can be read but rejects every append. The rejections prove that
  // nothing was stored, so a later attempt may use any identifier.
  it('reports fate NotDone when every append was rejected', async () => {
    const {clock, log} = createMemoryLog();
    log.append = () =>
      Promise.reject(
        new StepError('append', 'memory log', Fate.NotDone, 'HTTP 429'),
      );
    const failure = await settle(clock, topUp(log, clock, request('i', 5)));
    expect((failure as StepError).fate).toBe(Fate.NotDone);
    expect((failure as StepError).reason).toBe('HTTP 429');
  });

  // Up to 4 responses are lost per invoice, and each top-up is run twice. The
  // budget must rise by each invoice once.
  property.prop([fc.array(fc.integer({min: 0, max: 4}), {maxLength: 6})], {
    seed: 7,
    numRuns: 50,
  })(
    'credits each identifier once although responses are lost',
    async lostResponseCounts => {
      const {clock, store, log} = createMemoryLog();
      for (const [index, answersToLose] of lostResponseCounts.entries()) {
        store.faults.answersToLose = answersToLose;
        const repeatedRequest = request(`invoice-${index}`, 100);
        const outcomes = [
          await settle(clock, topUp(log, clock, repeatedRequest)),
          await settle(clock, topUp(log, clock, repeatedRequest)),
        ];
        expect(
          outcomes.map(outcome => (outcome as TopUpResult).outcome),
        ).toEqual([TopUpOutcome.Credited, TopUpOutcome.AlreadyCredited]);
      }
      store.faults.answersToLose = 0;
      const last = await topUp(log, clock, request('last', 1));
      expect(last.creditedTokens).toBe(lostResponseCounts.length * 100 + 1);
    },
  );
});
