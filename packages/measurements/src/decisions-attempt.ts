import {WorkClass, type WorkItem} from '@wisteriadeal/decisions';

import type {ModelledEngine, Sequence} from './decisions-engine.js';
import type {DecisionsTally} from './decisions-tally.js';
import type {SimulatedRequest} from './decisions-workload.js';

/** An attempt at a request; each retry is a new attempt. */
export interface Attempt {
  readonly requestId: string;
  readonly request: SimulatedRequest;
  readonly offeredAt: number;
  readonly remainingRetries: number;
  readonly isCounted: boolean;
  engine: ModelledEngine | undefined;
  sequence: Sequence | undefined;
  firstTokenAt: number | undefined;
  hasEnded: boolean;
}

/** Returns an attempt as the work item that the router places. */
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

/** Returns an attempt as the sequence that an engine processes. */
export function sequenceOf({requestId, request}: Attempt): Sequence {
  return {
    requestId,
    promptTokens: request.promptTokens,
    outputTokens: request.outputTokens,
    prefixes: request.prefixes,
    priority: request.workClass === WorkClass.Interactive ? 0 : 1,
    cachedTokens: 0,
    remainingPrefillTokens: request.promptTokens,
    generatedTokens: 0,
  };
}

/** Records the engine's work for an attempt that has ended. */
export function countWork(
  tally: DecisionsTally,
  request: SimulatedRequest,
  sequence: Sequence,
  isAnswered: boolean,
): void {
  if (isAnswered) {
    const sharedTokens = request.prefixes.at(-1)?.tokens ?? 0;
    tally.recordAnswer(request);
    tally.recordPrefixTokens(sharedTokens, sequence.cachedTokens);
  }
  const remaining = Math.max(0, sequence.remainingPrefillTokens);
  const prefilled = request.promptTokens - sequence.cachedTokens - remaining;
  tally.recordSpentTokens(
    Math.max(0, prefilled) + sequence.generatedTokens,
    !isAnswered,
  );
}
