import {expectedCompletion} from '@wisteriadeal/stand-ins';
import {expect, test} from 'vitest';

import {
  checkServiceAnswer,
  messagesOf,
  StreamChecker,
} from '../answer-checks.js';
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
  const checker = new StreamChecker(CALL, 'req_1');
  for (const item of events) {
    checker.addEvent(item);
  }
  return checker.check().mismatch;
}

const COMPLETE_STREAM = tokens.map((text, index) => event(index, text));

test('a complete stream of the request passes the check', () => {
  expect(mismatchOf([...COMPLETE_STREAM, usage(3)])).toBe('');
});

test.each([
  ['a token is missing', [...COMPLETE_STREAM.slice(0, 2), usage(3)]],
  [
    'a token is duplicated',
    [...COMPLETE_STREAM, event(2, tokens[2] ?? ''), usage(3)],
  ],
  ['an event belongs to another request', [event(0, 'x', 'req_2'), usage(3)]],
  ['the usage differs from the expected one', [...COMPLETE_STREAM, usage(4)]],
])('a stream fails the check if %s', (_what, events) => {
  expect(mismatchOf(events)).not.toBe('');
});

test('a plain service answer to another organisation fails the check', () => {
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
  const checked = checkServiceAnswer(
    call,
    'req_1',
    Buffer.from(JSON.stringify(reply)),
  );
  expect(checked.mismatch).toContain('organisation');
});
