import {expectedCompletion} from '@wisteriadeal/stand-ins';
import {expect, test} from 'vitest';

import {checkCall, messagesOf, StreamCheck} from '../answer-checks.js';
import {
  RequestKind,
  type CompletionCall,
  type ServiceCall,
} from '../caller-request.js';

const FROM = {organisation: 'north', caller: 'app', secret: 'secret'};
const CALL: CompletionCall = {
  kind: RequestKind.Stream,
  from: FROM,
  model: 'tutor-7b',
  prompt: 'question length=3',
  maximumTokens: 8,
};
const {tokens} = expectedCompletion(CALL.model, messagesOf(CALL), 8);

function event(index: number, content: string, id = 'req_1') {
  const choices = [{delta: {content}}];
  return {id: String(index), data: JSON.stringify({id, choices})};
}

function usage(completionTokens: number) {
  const counts = {prompt_tokens: 2, completion_tokens: completionTokens};
  const data = JSON.stringify({id: 'req_1', choices: [], usage: counts});
  return {id: '3', data};
}

function mismatchOf(events: readonly {id: string; data: string}[]): string {
  const check = new StreamCheck(CALL, 'req_1');
  for (const each of events) {
    check.take(each);
  }
  return check.check().mismatch;
}

const RIGHT = tokens.map((text, index) => event(index, text));

test('the whole stream of the caller itself is right', () => {
  expect(mismatchOf([...RIGHT, usage(3)])).toBe('');
});

test.each([
  ['a token is missing', [...RIGHT.slice(0, 2), usage(3)]],
  ['a token comes twice', [...RIGHT, event(2, tokens[2] ?? ''), usage(3)]],
  ['an event is of another request', [event(0, 'x', 'req_2'), usage(3)]],
  ['the usage is wrong', [...RIGHT, usage(4)]],
])('a stream is wrong where %s', (_what, events) => {
  expect(mismatchOf(events)).not.toBe('');
});

test('a plain answer to another organisation is wrong', () => {
  const call: ServiceCall = {
    kind: RequestKind.NonIdempotentCall,
    from: FROM,
    service: 'registry-app',
    call: 'certificates',
    method: 'POST',
    body: '',
    tokens: 5,
  };
  const reply = {requestId: 'req_1', organisation: 'south', call: call.call};
  const checked = checkCall(call, 'req_1', Buffer.from(JSON.stringify(reply)));
  expect(checked.mismatch).toContain('organisation');
});
