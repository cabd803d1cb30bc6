import {create} from '@bufbuild/protobuf';
import {BillSchema} from '@wisteriadeal/schema';
import {expect, test} from 'vitest';

import {RequestKind, type CallerRequest} from '../caller-request.js';
import {LOST_RESULT, ResultKind} from '../caller-result.js';
import type {LedgerAudit} from '../ledger-audit.js';
import {findFalseRefusals} from '../refusal-audit.js';
import {RequestRecord} from '../request-record.js';

const FROM = {organisation: 'north', caller: 'app', secret: 'secret'};

function request(tokens: number): CallerRequest {
  return {
    kind: RequestKind.IdempotentCall,
    from: FROM,
    service: 'registry-app',
    call: 'balances',
    method: 'POST',
    body: '',
    tokens,
  };
}

function record(
  requestId: string,
  kind: ResultKind,
  tokens: number,
  startedAtMilliseconds: number,
): RequestRecord {
  const recorded = new RequestRecord(request(tokens));
  const problem = kind === ResultKind.NotRun ? 'budget-exhausted' : '';
  recorded.add({
    ...LOST_RESULT,
    kind,
    requestId,
    problem,
    tokens,
    startedAtMilliseconds,
    milliseconds: 10,
    firstMilliseconds: 10,
  });
  return recorded;
}

function ledger(credited: number, billed: Readonly<Record<string, number>>) {
  const bills = Object.entries(billed).map(
    ([requestId, tokens]) =>
      [requestId, create(BillSchema, {requestId, tokens})] as const,
  );
  const audit: LedgerAudit = {
    organisations: [
      {
        organisation: FROM.organisation,
        creditedTokens: credited,
        billedTokens: 0,
        unallocatedTokens: 0,
        grantedTokens: 0,
      },
    ],
    bills: new Map(bills),
    openGrants: [],
    billedTwice: 0,
    records: 0,
  };
  return audit;
}

test('a refusal is false if enough budget remained', () => {
  const used = record('one', ResultKind.Answered, 60, 0);
  const refused = record('two', ResultKind.NotRun, 40, 100);
  const found = findFalseRefusals([used, refused], ledger(100, {one: 60}), []);
  expect(found.map(({record: each}) => each)).toEqual([refused]);
});

test('a request in progress during the refusal counts with its token bound', () => {
  const running = record('one', ResultKind.Answered, 61, 105);
  const refused = record('two', ResultKind.NotRun, 40, 100);
  const found = findFalseRefusals(
    [running, refused],
    ledger(100, {one: 1}),
    [],
  );
  expect(found).toEqual([]);
});

test('a top-up after a refusal does not make it false', () => {
  const refused = record('two', ResultKind.NotRun, 40, 100);
  const topUp = {organisation: 'north', tokens: 100, atMilliseconds: 200};
  expect(findFalseRefusals([refused], ledger(100, {}), [topUp])).toEqual([]);
});
