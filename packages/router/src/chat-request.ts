import type {ChatMessage} from '@wisteriadeal/platform';

import {Problem, ProblemName} from './problem.js';

/** A caller's chat completion request. */
export interface ChatRequest {
  readonly model: string;
  readonly messages: readonly ChatMessage[];
  readonly stream: boolean;
  /** Undefined if the caller set none. */
  readonly maximumOutputTokens: number | undefined;
  readonly batch: boolean;
}

function malformed(detail: string): Problem {
  return new Problem(ProblemName.MalformedRequest, {detail});
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function parseObject(body: Uint8Array): Record<string, unknown> {
  let value: unknown;
  try {
    value = JSON.parse(
      new TextDecoder('utf-8', {fatal: true}).decode(body),
    ) as unknown;
  } catch {
    throw malformed('the body is not JSON in UTF-8');
  }
  if (!isRecord(value)) {
    throw malformed('the body is not a JSON object');
  }
  return value;
}

function parseMessage(value: unknown, index: number): ChatMessage {
  if (
    !isRecord(value) ||
    typeof value.role !== 'string' ||
    typeof value.content !== 'string'
  ) {
    throw malformed(
      `messages[${index}] needs the strings "role" and "content"`,
    );
  }
  return {role: value.role, content: value.content};
}

function parseMessages(value: unknown): readonly ChatMessage[] {
  if (!Array.isArray(value) || value.length === 0) {
    throw malformed('"messages" must be a list of at least one message');
  }
  return value.map(parseMessage);
}

function parseMaximum(body: Record<string, unknown>): number | undefined {
  const value = body.max_completion_tokens ?? body.max_tokens;
  if (value === undefined || value === null) {
    return undefined;
  }
  if (typeof value !== 'number' || !Number.isSafeInteger(value) || value < 1) {
    throw malformed('"max_tokens" must be a whole number of at least 1');
  }
  return value;
}

/**
 * Parses the body of a chat completion. Members that the system does
 * not use are ignored.
 *
 * @throws Problem `malformed-request` if the body is not valid.
 * @example
 * ```ts
 * const chat = parseChatRequest(body);
 * ```
 */
export function parseChatRequest(bytes: Uint8Array): ChatRequest {
  const body = parseObject(bytes);
  if (typeof body.model !== 'string') {
    throw malformed('"model" must be a string');
  }
  const stream = body.stream ?? false;
  if (typeof stream !== 'boolean') {
    throw malformed('"stream" must be true or false');
  }
  return {
    model: body.model,
    messages: parseMessages(body.messages),
    stream,
    maximumOutputTokens: parseMaximum(body),
    batch: body.service_tier === 'batch',
  };
}
