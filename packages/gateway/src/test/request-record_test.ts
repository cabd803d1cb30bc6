import {describe, expect, it} from 'vitest';

import {RequestRecord, UndeliveredCharge} from '../request-record.js';

const PROMPT = 900;
const MOST_OUTPUT = 100;
const TOKENS_PER_EVENT = 4;

function used(record: RequestRecord, charge: UndeliveredCharge): number {
  return record.usedTokens(PROMPT, MOST_OUTPUT, TOKENS_PER_EVENT, charge);
}

describe('what a request used', () => {
  it('is nothing where nothing was sent', () => {
    const record = new RequestRecord();
    expect(used(record, UndeliveredCharge.Prompt)).toBe(0);
  });

  it('is nothing where nothing was delivered', () => {
    // The caller sees 402 for a budget that is not used up. Its earlier requests
    // were given up or broken off before their first event; charged for their
    // prompts, 537,000 tokens of a budget of 1.5 million were gone for nothing.
    const record = new RequestRecord();
    record.mayHaveRun = true;
    expect(used(record, UndeliveredCharge.Nothing)).toBe(0);
  });

  it('is the prompt where settings charge what may have run', () => {
    const record = new RequestRecord();
    record.mayHaveRun = true;
    expect(used(record, UndeliveredCharge.Prompt)).toBe(PROMPT);
  });

  it('is the prompt, once, and what was delivered', () => {
    const record = new RequestRecord();
    record.mayHaveRun = true;
    record.hasDelivered = true;
    record.eventsDelivered = 5;
    expect(used(record, UndeliveredCharge.Nothing)).toBe(PROMPT + 20);
  });

  it('is whole where an event stands for a fraction of tokens', () => {
    // Guards against records with fractions, which are passed over: their tokens are gone.
    const record = new RequestRecord();
    record.hasDelivered = true;
    record.eventsDelivered = 5;
    expect(
      record.usedTokens(PROMPT, MOST_OUTPUT, 4.5, UndeliveredCharge.Nothing),
    ).toBe(PROMPT + 23);
  });

  it('is never more than its bound', () => {
    const record = new RequestRecord();
    record.hasDelivered = true;
    record.eventsDelivered = 500;
    expect(used(record, UndeliveredCharge.Nothing)).toBe(PROMPT + MOST_OUTPUT);
  });
});
