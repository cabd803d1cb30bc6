import type {EngineEnd} from '@wisteriadeal/platform';

import type {Answer} from './answer.js';

/** The fields of a chunk that this package reads. */
interface Chunk {
  readonly choices: readonly {
    readonly delta?: {readonly content?: string};
    readonly finish_reason: string | null;
  }[];
  readonly usage?: unknown;
}

function encode(answer: Answer, model: string, rest: object): Uint8Array {
  const {requestId, createdSeconds} = answer.options;
  return Buffer.from(
    JSON.stringify({
      id: requestId,
      object: 'chat.completion.chunk',
      created: createdSeconds,
      model,
      ...rest,
    }),
  );
}

/** Encodes a chunk that carries text. */
export function textChunk(
  answer: Answer,
  model: string,
  text: string,
): Uint8Array {
  return encode(answer, model, {
    choices: [{index: 0, delta: {content: text}, finish_reason: null}],
  });
}

/** Encodes the two chunks after the last text: the finish reason and the usage. */
export function endChunks(
  answer: Answer,
  model: string,
  end: EngineEnd,
): readonly Uint8Array[] {
  const {promptTokens, completionTokens} = end.usage;
  return [
    encode(answer, model, {
      choices: [{index: 0, delta: {}, finish_reason: end.finishReason}],
    }),
    encode(answer, model, {
      choices: [],
      usage: {
        prompt_tokens: promptTokens,
        completion_tokens: completionTokens,
        total_tokens: promptTokens + completionTokens,
      },
    }),
  ];
}

/**
 * Builds the completion object for a caller that did not request a stream.
 *
 * @param answer An answer that ended without a problem.
 */
export function createCompletion(answer: Answer, model: string): object {
  let content = '';
  let finishReason: string | null = null;
  let usage: unknown;
  for (const {data} of answer.events) {
    const chunk = JSON.parse(Buffer.from(data).toString()) as Chunk;
    const choice = chunk.choices[0];
    content += choice?.delta?.content ?? '';
    finishReason = choice?.finish_reason ?? finishReason;
    usage = chunk.usage ?? usage;
  }
  return {
    id: answer.options.requestId,
    object: 'chat.completion',
    created: answer.options.createdSeconds,
    model,
    choices: [
      {
        index: 0,
        message: {role: 'assistant', content},
        finish_reason: finishReason,
      },
    ],
    usage,
  };
}
