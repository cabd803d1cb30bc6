import {create} from '@bufbuild/protobuf';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {UncongestedLink} from '@wisteriadeal/platform';
import {
  StreamOriginAnswerSchema,
  StreamOriginService,
} from '@wisteriadeal/schema';
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';

import {OriginFinder} from '../stream-origins/origin-finder.js';
import {
  ConnectStreamOriginPeers,
  type OriginQuery,
} from '../stream-origins/index.js';

const STREAMS = 50;
const HOSTS = Array.from({length: 10}, (_, host) => `10.0.0.${host}:1`);

let server: Server | undefined;

afterEach(() => {
  server?.close();
});

function queryOf(stream: string): OriginQuery {
  return {stream, requestHost: 'shop.example', requestPath: '/stream/'};
}

/** An answer that repeats the stream of its query. */
function answerTo({stream = ''}: OriginQuery) {
  return create(StreamOriginAnswerSchema, {record: {stream}});
}

function namesOf(prefix: string): readonly string[] {
  return Array.from({length: STREAMS}, (_, index) => `${prefix}-${index}`);
}

describe('streams that are taken up at once', () => {
  it('cost each other host one call, and each gets its own answer', async () => {
    // Guards against hosts that are busy with calls for as long as streams wait.
    const calls: string[] = [];
    const finder = new OriginFinder((address, queries) => {
      calls.push(address);
      return Promise.resolve(queries.map(answerTo));
    });
    const found = await Promise.all(
      namesOf('stream').flatMap(stream =>
        HOSTS.map(async address => {
          const {record} = await finder.find(address, queryOf(stream));
          return record?.stream === stream;
        }),
      ),
    );
    expect(found).toEqual(Array.from({length: STREAMS * 10}, () => true));
    expect(calls).toEqual(HOSTS);
  });

  it('are not answered where the host leaves them out', async () => {
    // Guards against the answer to one stream that is taken for that to another.
    const finder = new OriginFinder((_address, [first]) =>
      Promise.resolve(first === undefined ? [] : [answerTo(first)]),
    );
    const results = await Promise.allSettled(
      namesOf('stream').map(stream => finder.find('a', queryOf(stream))),
    );
    const answered = results.filter(({status}) => status === 'fulfilled');
    expect(answered.length).toBe(1);
  });

  it('are answered by a host of an earlier release', async () => {
    // Guards against streams that don't go on while a release is rolled out.
    const routes = connectNodeAdapter({
      routes: router => {
        router.service(StreamOriginService, {find: answerTo});
      },
    });
    server = createServer(routes);
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    const peers = new ConnectStreamOriginPeers(new UncongestedLink());
    const streams = namesOf('stream').slice(0, 3);
    const answers = await Promise.all(
      streams.map(stream => peers.find(`127.0.0.1:${port}`, queryOf(stream))),
    );
    expect(answers.map(({record}) => record?.stream)).toEqual(streams);
    peers.close();
  });
});
