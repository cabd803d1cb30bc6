import {WorkClass, type WorkItem} from '@wisteriadeal/decisions';

import type {ModelledEngine, Sequence} from './decisions-engine.js';
import type {DecisionsTally} from './decisions-tally.js';
import type {CallerRequest} from './decisions-workload.js';

/** One try of one request. */
export interface Attempt {
  readonly requestId: string;
  readonly request: CallerRequest;
  readonly offeredAt: number;
  readonly triesLeft: number;
  readonly isCounted: boolean;
  engine: ModelledEngine | undefined;
  sequence: Sequence | undefined;
  firstTokenAt: number | undefined;
  hasEnded: boolean;
}

/** What the router knows of an attempt. */
export function workItemOf(
  attempt: Attempt,
  service: string,
  model: string,
  isRetry: boolean,
): WorkItem {
  const {request, requestId, offeredAt} = attempt;
  return {
    requestId,
    organisation: request.organisation,
    weight: request.weight,
    workClass: request.workClass,
    service,
    model,
    promptTokens: request.promptTokens,
    maximumOutputTokens: request.maximumOutputTokens,
    prefixHashes: request.prefixes.map(({hash}) => hash),
    deadlineAt: offeredAt + request.deadlineMilliseconds,
    isRetry,
  };
}

/** What the engine gets to work on. */
export function sequenceOf({requestId, request}: Attempt): Sequence {
  return {
    requestId,
    promptTokens: request.promptTokens,
    outputTokens: request.outputTokens,
    prefixes: request.prefixes,
    priority: request.workClass === WorkClass.Interactive ? 0 : 1,
    cachedTokens: 0,
    prefillLeft: request.promptTokens,
    generated: 0,
  };
}

/** Counts what an engine did for an attempt that has ended. */
export function countWork(
  tally: DecisionsTally,
  request: CallerRequest,
  sequence: Sequence,
  isAnswered: boolean,
): void {
  if (isAnswered) {
    const shared = request.prefixes.at(-1)?.tokens ?? 0;
    tally.answer(request);
    tally.prefix(shared, sequence.cachedTokens);
  }
  const left = Math.max(0, sequence.prefillLeft);
  const worked = request.promptTokens - sequence.cachedTokens - left;
  tally.spend(Math.max(0, worked) + sequence.generated, !isAnswered);
}
