import type {EventLog} from '@wisteriadeal/runtime';

import type {InputBreach} from './input-breach.js';

/** What is told of an exchange that a limit of its input ended. */
export type InputListener = (
  endpointId: string,
  breach: InputBreach,
  elapsedMilliseconds: number,
) => void;

/** Counts exceeded limits. */
export interface InputMetrics {
  inputEnded(breach: InputBreach): void;
}

/** Returns a listener that logs and counts exceeded limits. */
export function inputLog(
  events: EventLog,
  metrics: InputMetrics,
): InputListener {
  return (endpoint, limit, elapsedMilliseconds) => {
    metrics.inputEnded(limit);
    events.warn('endpoint input ended', {
      endpoint,
      limit,
      elapsedMilliseconds: Math.round(elapsedMilliseconds),
    });
  };
}
