import {create, type MessageInitShape} from '@bufbuild/protobuf';
import {
  BeginAnswerSchema,
  type BeginAnswer,
  type BeginRequest,
  type BeginVerdict,
} from '@wisteriadeal/schema';

/**
 * Creates the answer to a `BeginRequest`.
 *
 * @example
 * ```ts
 * beginAnswer(begin, BeginVerdict.UNAVAILABLE, {reason: 'no witness'});
 * ```
 */
export function beginAnswer(
  begin: BeginRequest,
  verdict: BeginVerdict,
  fields: Omit<
    MessageInitShape<typeof BeginAnswerSchema>,
    'sequence' | 'requestId' | 'verdict' | '$typeName'
  > = {},
): BeginAnswer {
  return create(BeginAnswerSchema, {
    ...fields,
    sequence: begin.sequence,
    requestId: begin.requestId,
    verdict,
  });
}
