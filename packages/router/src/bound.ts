import type {ChatMessage} from '@wisteriadeal/platform';
import type {Model} from '@wisteriadeal/schema';

/**
 * Tokens that an engine's chat template adds for each message (its role and
 * separators) and once per prompt for the start of the answer. Four and eight
 * cover the templates in common use. If an engine counts more, the charge is
 * still limited to the bound.
 */
export const TEMPLATE_TOKENS_PER_MESSAGE = 4;
export const TEMPLATE_TOKENS_PER_PROMPT = 8;

/**
 * Computes the maximum number of prompt tokens of the messages: each token covers
 * at least `minimumBytesPerPromptToken` bytes.
 */
export function promptBound(
  messages: readonly ChatMessage[],
  model: Model,
): number {
  const bytes = messages.reduce(
    (sum, message) => sum + Buffer.byteLength(message.content),
    0,
  );
  const bytesPerToken =
    model.minimumBytesPerPromptToken > 0 ? model.minimumBytesPerPromptToken : 1;
  return (
    Math.ceil(bytes / bytesPerToken) +
    messages.length * TEMPLATE_TOKENS_PER_MESSAGE +
    TEMPLATE_TOKENS_PER_PROMPT
  );
}

/**
 * Computes the maximum number of tokens that a completion can cost. This number
 * is reserved before dispatch.
 *
 * @example
 * ```ts
 * completionBound([{role: 'user', content: 'hello'}], model, 16); // 5+4+8+16
 * ```
 */
export function completionBound(
  messages: readonly ChatMessage[],
  model: Model,
  maximumOutputTokens: number,
): number {
  return promptBound(messages, model) + maximumOutputTokens;
}

/**
 * Computes the tokens to charge: the usage, limited to the bound. Usage beyond
 * the bound was never reserved, and charging it could exceed the organisation's
 * budget.
 */
export function chargedTokens(usedTokens: number, bound: number): number {
  return Math.min(Math.max(0, Math.ceil(usedTokens)), bound);
}
