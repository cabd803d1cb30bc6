import type {ChatMessage} from '@wisteriadeal/platform';
import {createHash} from 'node:crypto';

const DEFAULT_TOKENS = 16;
const TOKEN_DIGITS = 8;
const LENGTH_WORD = /(?:^|\s)length=(\d+)(?:\s|$)/;

/** What the engine stand-in answers to a prompt. */
export interface ExpectedCompletion {
  /** One entry a token, each ending with a space. */
  readonly tokens: readonly string[];
  readonly text: string;
  readonly promptTokens: number;
  readonly completionTokens: number;
  /** True where the maximum, not the prompt, ended the answer. */
  readonly cutByMaximum: boolean;
}

/** Counts the words of a prompt, which are the stand-in's tokens. */
export function countPromptTokens(messages: readonly ChatMessage[]): number {
  return messages
    .flatMap(message => message.content.split(/\s+/))
    .filter(word => word !== '').length;
}

function wantedTokens(messages: readonly ChatMessage[]): number {
  for (const message of messages) {
    const match = LENGTH_WORD.exec(message.content);
    if (match !== null) {
      return Number(match[1]);
    }
  }
  return DEFAULT_TOKENS;
}

function tokenAt(model: string, prompt: string, index: number): string {
  const digest = createHash('sha256')
    .update(`${model}\0${prompt}\0${index}`)
    .digest('hex');
  return `t${digest.slice(0, TOKEN_DIGITS)} `;
}

/**
 * The answer that the engine stand-in gives: a function of the model and the
 * messages only, so that a caller can verify that an answer is its own.
 *
 * @param maximumTokens The most the engine was allowed to generate.
 * @example
 * ```ts
 * const {text} = expectedCompletion('tutor', [{role: 'user', content: 'hi'}], 64);
 * ```
 */
export function expectedCompletion(
  model: string,
  messages: readonly ChatMessage[],
  maximumTokens: number,
): ExpectedCompletion {
  const prompt = JSON.stringify(
    messages.map(({role, content}) => ({role, content})),
  );
  const wanted = wantedTokens(messages);
  const length = Math.min(wanted, maximumTokens);
  const tokens = Array.from({length}, (_, index) =>
    tokenAt(model, prompt, index),
  );
  return {
    tokens,
    text: tokens.join(''),
    promptTokens: countPromptTokens(messages),
    completionTokens: length,
    cutByMaximum: wanted > maximumTokens,
  };
}
