import {decidingHosts} from '../deciding-hosts.js';
import type {PeerHost} from '../relay-directory.js';

/** Hosts of the whole order that are told of a stream. */
export const TOLD_HOSTS = 2;
/** Hosts of this data centre that are told of a stream, for when it is cut off. */
export const TOLD_LOCAL_HOSTS = 1;
/** Hosts that are asked; more than are told, as hosts come and go in between. */
const ASKED_HOSTS = 5;
const ASKED_LOCAL_HOSTS = 2;

/** The other hosts that may keep the origin of one stream, first choice first. */
export interface OriginRecorders {
  readonly all: readonly string[];
  readonly local: readonly string[];
}

/**
 * Orders the hosts for one stream. Hosts that know the same others find the same
 * order, but for themselves.
 */
export function originRecorders(
  stream: string,
  others: readonly PeerHost[],
  dataCenter: string,
): OriginRecorders {
  const orderOf = (hosts: readonly PeerHost[], count: number) =>
    decidingHosts(
      stream,
      hosts.map(({address}) => address),
      count,
    );
  const locals = others.filter(host => host.dataCenter === dataCenter);
  return {
    all: orderOf(others, ASKED_HOSTS),
    local: orderOf(locals, ASKED_LOCAL_HOSTS),
  };
}
