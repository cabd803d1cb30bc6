import type {AnswerEstimate, ResendBudget} from '@wisteriadeal/decisions';

import type {CallerExchange} from './caller-exchange.js';
import {
  RouteKind,
  type Organisation,
  type Route,
  type ServiceDescription,
} from './configuration.js';
import type {RequestIdentity} from './crashes/index.js';
import type {StreamBinding} from './stream-origins/index.js';

/** An admitted request with everything needed to place and run it. */
export interface RequestContext {
  readonly caller: CallerExchange;
  readonly body: Buffer | undefined;
  readonly identity: RequestIdentity;
  /** Whether the request may be sent to one endpoint only, as it may crash it. */
  readonly isTry: boolean;
  readonly binding: StreamBinding;
  readonly route: Route;
  readonly service: ServiceDescription;
  readonly organisation: Organisation | undefined;
  readonly configurationVersion: number;
  /**
   * When the caller or the route stops waiting, on the monotonic clock in
   * milliseconds.
   */
  readonly deadlineAt: number;
  /**
   * Whether the request may begin at an endpoint now; false if a graceful stop might
   * cut it.
   */
  readonly mayBegin: () => boolean;
  readonly resends: ResendBudget;
  readonly firstEventLatency: AnswerEstimate;
  readonly bufferedAnswerLatency: AnswerEstimate;
}

/**
 * Whether a request may be sent to a second endpoint after it may have run at
 * the first.
 */
export function isRepeatable(route: Route): boolean {
  return (
    route.kind === RouteKind.Idempotent ||
    (route.kind === RouteKind.Streaming && route.resumable)
  );
}

/** Upper bound on the tokens that the request can use. */
export function maximumTokens(caller: CallerExchange): number {
  return caller.headers.promptTokens + caller.headers.maximumOutputTokens;
}
