import {create, type MessageInitShape} from '@bufbuild/protobuf';
import {
  BeginAnswerSchema,
  type BeginAnswer,
  type BeginRequest,
  type BeginVerdict,
} from '@wisteriadeal/schema';

/**
 * An answer to a begun request.
 *
 * @example
 * ```ts
 * beginAnswer(begin, BeginVerdict.UNAVAILABLE, {reason: 'no witness'});
 * ```
 */
export function beginAnswer(
  begin: BeginRequest,
  verdict: BeginVerdict,
  more: Omit<
    MessageInitShape<typeof BeginAnswerSchema>,
    'sequence' | 'requestId' | 'verdict' | '$typeName'
  > = {},
): BeginAnswer {
  return create(BeginAnswerSchema, {
    ...more,
    sequence: begin.sequence,
    requestId: begin.requestId,
    verdict,
  });
}
