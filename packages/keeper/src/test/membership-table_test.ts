import {create} from '@bufbuild/protobuf';
import {
  GossipMessageSchema,
  HostState,
  ProcessIdentitySchema,
} from '@wisteriadeal/schema';
import {FakeClock} from '@wisteriadeal/stand-ins';
import {expect, it} from 'vitest';

import {MembershipTable} from '../membership-table.js';

const HEARTBEAT_LIMIT_MILLISECONDS = 500;

function identity(incarnation: string) {
  return create(ProcessIdentitySchema, {incarnation, host: incarnation});
}

function gossipOf(keeper: string, routers: readonly string[]) {
  return create(GossipMessageSchema, {
    sender: identity(keeper),
    routers: routers.map(router => ({
      identity: identity(router),
      state: HostState.LIVE,
    })),
  });
}

// Guards against a grant that can't be reclaimed because its holder was stalled
// and gave up its witness when all peers seemed unreachable.
it('keeps an unreachable witness until the witness timeout', async () => {
  const clock = new FakeClock();
  const witnessTimeout = 3 * HEARTBEAT_LIMIT_MILLISECONDS;
  const table = new MembershipTable(
    identity('self'),
    HEARTBEAT_LIMIT_MILLISECONDS,
    clock,
    witnessTimeout,
  );
  expect(table.witnessFor('org')).toBeUndefined();
  table.recordHeartbeat(gossipOf('k1', []));
  expect(table.witnessFor('org')).toBe('k1');
  await clock.advance(witnessTimeout);
  expect(table.reachablePeers).toEqual([]);
  expect(table.witnessFor('org')).toBe('k1');
  table.recordHeartbeat(gossipOf('k2', []));
  expect(table.witnessFor('org')).toBe('k2');
  await clock.advance(witnessTimeout + 1);
  expect(table.witnessFor('org')).toBeUndefined();
});

// Guards against routers that spend their time on control messages. Each router
// has a session with every keeper, so several keepers list it, and each
// heartbeat moved its routers to the end of the membership. Every heartbeat
// then looked like a change and was sent to all routers, although the members
// were the same.
it('does not notify listeners when heartbeats list the same routers in another order', () => {
  const table = new MembershipTable(
    identity('self'),
    HEARTBEAT_LIMIT_MILLISECONDS,
    new FakeClock(),
  );
  table.recordHeartbeat(gossipOf('k1', ['r1', 'r2']));
  table.recordHeartbeat(gossipOf('k2', ['r2', 'r1']));
  let changes = 0;
  table.addListener(() => {
    changes++;
  });
  table.recordHeartbeat(gossipOf('k1', ['r2', 'r1']));
  table.recordHeartbeat(gossipOf('k2', ['r1', 'r2']));
  expect(changes).toBe(0);
});
