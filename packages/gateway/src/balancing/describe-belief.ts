import {SpeedSource} from '@wisteriadeal/decisions';

import type {ChosenEndpoint} from '../endpoint-chooser.js';
import {fetchSource} from './fetchable-parts.js';

/**
 * What was believed of an endpoint when it was chosen, for the log line of its request,
 * such as `begins in 34 ms, 1.2 times as slow (first-event, 800 ms ago), 628 tokens
 * ahead, parts: home`.
 */
export function describeBelief(chosen: ChosenEndpoint, now: number): string {
  const {endpoint, placement} = chosen;
  const {work} = endpoint;
  const age = Math.round(work.ageMilliseconds(now) ?? 0);
  const source =
    work.source === SpeedSource.None
      ? 'not observed'
      : `${work.source}, ${age} ms ago`;
  const begin = Math.round(placement.beginMilliseconds);
  const slowness = placement.slowness.toFixed(1);
  const from = fetchSource(chosen);
  const parts =
    from === undefined
      ? `parts: ${placement.source}`
      : `parts: fetched from ${from}`;
  return `begins in ${begin} ms, ${slowness} times as slow (${source}), ${work.waitingTokens} tokens ahead, ${parts}`;
}
