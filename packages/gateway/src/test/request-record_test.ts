import {describe, expect, it} from 'vitest';

import {
  AnswerFraming,
  BodyEnd,
  ConnectionOrigin,
} from '../endpoint-exchange.js';
import {PathKind} from '../endpoint-path.js';
import {
  describeAttempt,
  RequestRecord,
  UndeliveredCharge,
} from '../request-record.js';

const PROMPT_TOKENS = 900;
const MAXIMUM_OUTPUT_TOKENS = 100;
const TOKENS_PER_EVENT = 4;

function used(record: RequestRecord, charge: UndeliveredCharge): number {
  return record.usedTokens(
    PROMPT_TOKENS,
    MAXIMUM_OUTPUT_TOKENS,
    TOKENS_PER_EVENT,
    charge,
  );
}

describe('tokens charged for a request', () => {
  it('are 0 if nothing was sent', () => {
    const record = new RequestRecord();
    expect(used(record, UndeliveredCharge.Prompt)).toBe(0);
  });

  it('are 0 if nothing was delivered', () => {
    // Guards against a 402 for a budget that is not used up. Charging the
    // prompts of requests that were given up or cut before their first event
    // took 537,000 tokens of a budget of 1.5 million for nothing.
    const record = new RequestRecord();
    record.mayHaveRun = true;
    expect(used(record, UndeliveredCharge.Nothing)).toBe(0);
  });

  it('are the prompt if settings charge requests that may have run', () => {
    const record = new RequestRecord();
    record.mayHaveRun = true;
    expect(used(record, UndeliveredCharge.Prompt)).toBe(PROMPT_TOKENS);
  });

  it('are the prompt, once, and the delivered output', () => {
    const record = new RequestRecord();
    record.mayHaveRun = true;
    record.hasDelivered = true;
    record.eventsDelivered = 5;
    expect(used(record, UndeliveredCharge.Nothing)).toBe(PROMPT_TOKENS + 20);
  });

  it('are rounded up if events have a fractional number of tokens', () => {
    // Guards against budget records with fractions, which are ignored, so that
    // their tokens are lost.
    const record = new RequestRecord();
    record.hasDelivered = true;
    record.eventsDelivered = 5;
    expect(
      record.usedTokens(
        PROMPT_TOKENS,
        MAXIMUM_OUTPUT_TOKENS,
        4.5,
        UndeliveredCharge.Nothing,
      ),
    ).toBe(PROMPT_TOKENS + 23);
  });

  it('are never more than the token limit of the request', () => {
    const record = new RequestRecord();
    record.hasDelivered = true;
    record.eventsDelivered = 500;
    expect(used(record, UndeliveredCharge.Nothing)).toBe(
      PROMPT_TOKENS + MAXIMUM_OUTPUT_TOKENS,
    );
  });
});

describe('the description of an attempt', () => {
  const attempt = {
    endpoint: 'i-1',
    build: 'v1',
    path: PathKind.Direct,
    connection: ConnectionOrigin.New,
    inProgress: 3,
    heartbeatAgeMilliseconds: undefined,
    atMilliseconds: 12,
    result: 'complete stream',
    answer: undefined,
  };

  it('tells how an answer was framed and how it ended', () => {
    // Guards against broken answers that look like complete ones in the log.
    const answer = {
      framing: AnswerFraming.UntilClose,
      bodyEnd: BodyEnd.ConnectionClosed,
      events: 0,
    };
    expect(describeAttempt({...attempt, answer})).toBe(
      'i-1 (v1, direct, new, 3 in progress) at 12: complete stream (until-close, 0 events, closed)',
    );
  });

  it('tells how long before the attempt its endpoint was heard from', () => {
    // Guards against endpoints that may have started again without a trace in the log.
    expect(describeAttempt({...attempt, heartbeatAgeMilliseconds: 380})).toBe(
      'i-1 (v1, direct, new, 3 in progress) at 12 (heard 380 ms before): complete stream',
    );
  });

  it('leaves out the answer of an attempt whose body was not read', () => {
    expect(describeAttempt({...attempt, result: 'not-sent: refused'})).toBe(
      'i-1 (v1, direct, new, 3 in progress) at 12: not-sent: refused',
    );
  });
});
