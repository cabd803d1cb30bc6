import {EventLog} from '@wisteriadeal/runtime';
import {LogLevel} from '@wisteriadeal/schema';
import {expect, it} from 'vitest';

import {EndpointConnectionPool} from '../endpoint-connection-pool.js';
import {HostConnections} from '../host-connections.js';

/** Far above and far below the limit that tests have on files. */
const LIMITS = [1_000_000_000, 100];
const MINIMUM_PART = 0.5;
const NO_CONNECTIONS = {
  connections: 0,
  idle: 0,
  partialRequests: 0,
  runningRequests: 0,
  unsentAnswers: 0,
};

it.each(LIMITS)(
  'has room for callers by the limit of its settings (%i connections)',
  connectionLimit => {
    // Guards against callers that are closed unread where connections are no files of the process.
    const connections = new HostConnections({
      callers: {
        openRequests: 0,
        connectionsInUse: 0,
        connectionCounts: NO_CONNECTIONS,
      },
      connections: new EndpointConnectionPool(),
      tunnels: {openTunnels: 0},
      events: EventLog.create(LogLevel.INFO, {}, () => undefined),
      connectionLimit,
    });
    expect(connections.callerRoom).toBeLessThan(connectionLimit);
    expect(connections.callerRoom).toBeGreaterThan(
      MINIMUM_PART * connectionLimit,
    );
  },
);
