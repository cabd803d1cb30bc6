import {ReachState, type ReachPolicy} from '@wisteriadeal/decisions';
import {HostShortage} from '@wisteriadeal/platform';
import {expect, it, vi} from 'vitest';

import type {EndpointDirectory} from '../endpoint-directory.js';
import type {EndpointEntry} from '../endpoint-entry.js';
import {GatewayMetrics} from '../gateway-metrics.js';
import {
  ServiceReachMonitor,
  type ServiceReachParts,
} from '../service-reach-monitor.js';

it.each([
  [HostShortage.Port, 1],
  [HostShortage.Route, 1],
  [HostShortage.Descriptor, 0],
  [HostShortage.Memory, 0],
])('a host that lacks a %s tells its reach %i times', (shortage, told) => {
  // Guards against refusing requests that another host can open a connection for.
  const recordConnectFailure = vi.fn();
  const policy = {state: ReachState.Reachable, recordConnectFailure};
  const directory = {find: () => undefined, openEndpoints: () => []};
  const parts = {
    directory: directory as unknown as EndpointDirectory,
    metrics: new GatewayMetrics(),
    clock: {monotonicMilliseconds: () => 0},
    shortages: {record: () => undefined},
  } as unknown as ServiceReachParts;
  const reach = new ServiceReachMonitor(
    parts,
    () => policy as unknown as ReachPolicy,
  );
  const entry = {id: 'i-1', service: 'models'} as EndpointEntry;
  reach.connectFailed(entry, {startedAt: 0, reason: 'connect', shortage});
  expect(recordConnectFailure).toHaveBeenCalledTimes(told);
});
