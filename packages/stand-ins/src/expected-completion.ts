import type {ChatMessage} from '@wisteriadeal/platform';
import {createHash} from 'node:crypto';

const DEFAULT_TOKENS = 16;
const TOKEN_DIGITS = 8;
const LENGTH_WORD = /(?:^|\s)length=(\d+)(?:\s|$)/;

/** The engine stand-in's answer to a prompt. */
export interface ExpectedCompletion {
  /** One entry per token, each ending with a space. */
  readonly tokens: readonly string[];
  readonly text: string;
  readonly promptTokens: number;
  readonly completionTokens: number;
  /** Whether the maximum, not the prompt, limited the answer's length. */
  readonly isLimitedByMaximum: boolean;
}

/** Counts a prompt's tokens, which for the stand-in are its words. */
export function countPromptTokens(messages: readonly ChatMessage[]): number {
  return messages
    .flatMap(message => message.content.split(/\s+/))
    .filter(word => word !== '').length;
}

function requestedTokens(messages: readonly ChatMessage[]): number {
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
 * Computes the engine stand-in's answer, which depends on the model, the messages and
 * the maximum only, so that a caller can verify that an answer belongs to its request.
 *
 * @param maximumTokens Maximum number of generated tokens.
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
  const requested = requestedTokens(messages);
  const length = Math.min(requested, maximumTokens);
  const tokens = Array.from({length}, (_, index) =>
    tokenAt(model, prompt, index),
  );
  return {
    tokens,
    text: tokens.join(''),
    promptTokens: countPromptTokens(messages),
    completionTokens: length,
    isLimitedByMaximum: requested > maximumTokens,
  };
}
