import type {FetchableParts, ServiceSpeed} from '@wisteriadeal/decisions';

import type {EngineDescription} from '../configuration.js';
import type {ChosenEndpoint} from '../endpoint-chooser.js';

const BITS_PER_BYTE = 8;
/** Bits that a link carries in a millisecond for each megabit per second. */
const BITS_PER_MILLISECOND = 1_000;

/**
 * What is known of fetching shared parts of a prompt between engines of a service;
 * undefined where reading them again is as quick, or the service doesn't state its link.
 */
export function fetchableParts(
  engine: EngineDescription | undefined,
  sharedTokens: number,
  speed: ServiceSpeed,
  now: number,
): FetchableParts | undefined {
  const {bytesPerToken, linkMegabitsPerSecond} = engine ?? {};
  if (bytesPerToken === undefined || linkMegabitsPerSecond === undefined) {
    return undefined;
  }
  const milliseconds =
    (sharedTokens * bytesPerToken * BITS_PER_BYTE) /
    (linkMegabitsPerSecond * BITS_PER_MILLISECOND);
  return milliseconds < speed.readMilliseconds(sharedTokens)
    ? {milliseconds, heldShare: speed.heldShare(now)}
    : undefined;
}

/** `IP:port` from which the endpoint fetches shared parts; undefined if it doesn't. */
export function fetchSource({
  placement: {fetchFrom},
}: ChosenEndpoint): string | undefined {
  if (fetchFrom === undefined) {
    return undefined;
  }
  const {address, port} = fetchFrom.endpoint.entry;
  return `${address}:${port}`;
}
