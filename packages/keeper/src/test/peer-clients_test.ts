import {create} from '@bufbuild/protobuf';
import {ControlServer} from '@wisteriadeal/runtime';
import {GossipMessageSchema, KeeperService} from '@wisteriadeal/schema';
import http2, {type ClientHttp2Session} from 'node:http2';
import {syncBuiltinESMExports} from 'node:module';
import {afterEach, beforeEach, expect, it, vi} from 'vitest';

import {PeerClients} from '../peer-clients.js';

let uncaught: unknown[];
let formerListeners: NodeJS.UncaughtExceptionListener[];
let sessions: ClientHttp2Session[];

beforeEach(() => {
  // An uncaught exception ends a keeper. Here it is recorded, in place of the
  // test runner's own listeners.
  uncaught = [];
  formerListeners = process.listeners('uncaughtException');
  process.removeAllListeners('uncaughtException');
  process.on('uncaughtException', error => uncaught.push(error));
  sessions = [];
  const {connect} = http2;
  vi.spyOn(http2, 'connect').mockImplementation((...connectArguments) => {
    const session = connect(...connectArguments);
    sessions.push(session);
    return session;
  });
  syncBuiltinESMExports();
});

afterEach(() => {
  vi.restoreAllMocks();
  syncBuiltinESMExports();
  process.removeAllListeners('uncaughtException');
  formerListeners.forEach(listener => {
    process.on('uncaughtException', listener);
  });
});

it('survives a call to a peer whose connection is being closed', async () => {
  // Guards against a keeper that exits because a peer stops: its bills of the
  // last half second are lost and its grants are not returned.
  const server = await ControlServer.listen('127.0.0.1', 0, router => {
    router.service(KeeperService, {
      gossip: () => create(GossipMessageSchema),
    });
  });
  const client = new PeerClients().client(server.address);
  await client.gossip({});
  const called = new Promise<unknown>(resolve => {
    sessions[0]?.once('goaway', () => {
      client.gossip({}).then(resolve, resolve);
    });
  });
  await server.close();
  await called;
  expect(sessions[0]?.destroyed).toBe(true);
  expect(uncaught).toEqual([]);
});
