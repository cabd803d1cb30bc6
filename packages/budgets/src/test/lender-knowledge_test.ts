import {describe, expect, it} from 'vitest';

import {LenderKnowledge} from '../lender-knowledge.js';
import {LoanBackoff} from '../loan-backoff.js';
import type {Lender} from '../loans.js';

const LENDERS: readonly Lender[] = [100, 4_000, 200, 300].map(
  (held, index) => ({
    incarnation: `start-${index}`,
    address: `10.0.0.${index}:1`,
    held,
    grant: {outstanding: held, held},
  }),
);
const LARGE = LENDERS.filter(({held}) => held === 4_000);

describe('LenderKnowledge', () => {
  it('names other lenders first to other rounds, mostly those with many tokens', () => {
    // Guards against hosts that all ask the same lender, which has nothing left then.
    const first = Array.from(
      {length: 200},
      (_unused, round) =>
        new LenderKnowledge().rank(LENDERS, `round-${round}`, 0)[0]?.held,
    );
    const ofLarge = first.filter(held => held === 4_000).length;
    expect(ofLarge).toBeGreaterThan(150);
    expect(ofLarge).toBeLessThan(200);
  });

  it('leaves out a lender that had nothing until it may have tokens again', () => {
    // Guards against requests that ask the same lender in vain, and against refusals
    // while it has tokens.
    const knowledge = new LenderKnowledge();
    LARGE.forEach(lender => {
      knowledge.recordAnswer(lender, 0, 0);
    });
    expect(knowledge.rank(LENDERS, 'round', 1_900)).toHaveLength(3);
    expect(knowledge.rank(LENDERS, 'round', 2_000)).toHaveLength(4);
    const granted = LARGE.map(lender => ({
      ...lender,
      grant: {outstanding: 5_000, held: 5_000},
    }));
    expect(knowledge.rank(granted, 'round', 1_900)).toHaveLength(1);
  });
});

describe('LoanBackoff', () => {
  it('prevents rounds only for requests that lack as much as the last one', () => {
    // Guards against the refusal of small requests that a loan covers.
    const backoff = new LoanBackoff();
    backoff.recordRound(500, 0);
    expect(backoff.isFruitless(500, 900)).toBe(true);
    expect(backoff.isFruitless(499, 900)).toBe(false);
    expect(backoff.isFruitless(500, 1_000)).toBe(false);
  });
});
