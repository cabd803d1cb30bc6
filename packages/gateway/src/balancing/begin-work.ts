import {RequestWork} from '@wisteriadeal/decisions';

import {RouteKind} from '../configuration.js';
import type {CallerHeaders} from '../dialect.js';
import type {ChosenEndpoint, PlacementRules} from '../endpoint-chooser.js';
import type {RequestContext} from '../request-context.js';

/** Prompt tokens that no other request shares. */
export function ownPromptTokens({
  promptParts,
  promptTokens,
}: CallerHeaders): number {
  return promptParts.at(-1)?.tokens ?? promptTokens;
}

/** Counts a request as work of the endpoint that it is sent to. */
export function beginWork(
  {endpoint, placement, sharedTokens}: ChosenEndpoint,
  {route, service, caller}: RequestContext,
  rules: PlacementRules,
  now: number,
): RequestWork {
  const speed = rules.speedOf(service.name);
  // The order of the turns is random, so that the hosts don't move on together.
  const turn = 0.5 + rules.fraction();
  const {sentMilliseconds, slowness, tokens} = placement;
  const size = {
    dataCenter: endpoint.entry.dataCenter,
    ownTokens: ownPromptTokens(caller.headers),
    sharedTokens,
    tokens,
    isStream: route.kind === RouteKind.Streaming,
    isTrial: endpoint.conditions.rest.isOnTrial,
    sentMilliseconds:
      sentMilliseconds + turn * slowness * speed.beginMilliseconds(tokens),
  };
  return new RequestWork(endpoint.work, speed, size, now);
}
