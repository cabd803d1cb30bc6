import type {EventLog} from '@wisteriadeal/runtime';

import type {InputBreach} from './input-breach.js';

/** An exchange that a limit of its input ended. */
export interface EndedInput {
  readonly limit: InputBreach;
  /** Time since the request was sent. */
  readonly elapsedMilliseconds: number;
  /** Bytes that arrived for the request. */
  readonly bytes: number;
}

/** What is told of the input of exchanges. */
export interface InputListener {
  /** Called when a limit ended an exchange. */
  ended(endpointId: string, input: EndedInput): void;
  /** Called when the rest of an input is left for a later turn of the event loop. */
  deferred(): void;
}

/** Counts exceeded limits and deferred reads. */
export interface InputMetrics {
  inputEnded(breach: InputBreach): void;
  readDeferred(): void;
}

/** Returns a listener that logs and counts exceeded limits. */
export function inputLog(
  events: EventLog,
  metrics: InputMetrics,
): InputListener {
  return {
    ended(endpoint, {limit, elapsedMilliseconds, bytes}) {
      metrics.inputEnded(limit);
      events.warn('endpoint input ended', {
        endpoint,
        limit,
        elapsedMilliseconds: Math.round(elapsedMilliseconds),
        bytes,
      });
    },
    deferred() {
      metrics.readDeferred();
    },
  };
}
