import type {AnswerEstimate, ResendBudget} from '@wisteriadeal/decisions';

import type {CallerExchange} from './caller-exchange.js';
import {
  RouteKind,
  type Organisation,
  type Route,
  type ServiceDescription,
} from './configuration.js';

/** A request that was admitted, with all that decides its way. */
export interface RequestContext {
  readonly caller: CallerExchange;
  readonly body: Buffer | undefined;
  readonly route: Route;
  readonly service: ServiceDescription;
  readonly organisation: Organisation | undefined;
  readonly configurationVersion: number;
  /** The caller or the route waits no longer; monotonic milliseconds. */
  readonly deadlineAt: number;
  readonly resends: ResendBudget;
  readonly firstEvents: AnswerEstimate;
  readonly wholeAnswers: AnswerEstimate;
}

/** Whether the request may run at a second endpoint after it may have run. */
export function mayRepeat(route: Route): boolean {
  return (
    route.kind === RouteKind.Idempotent ||
    (route.kind === RouteKind.Streaming && route.resumable)
  );
}

/** The most tokens that the request can use. */
export function tokenBound(caller: CallerExchange): number {
  return caller.headers.promptTokens + caller.headers.maximumOutputTokens;
}
