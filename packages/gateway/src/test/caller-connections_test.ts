import {once} from 'node:events';
import {createServer, type Server, type ServerResponse} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import {CallerConnections, RoomMeasure} from '../caller-connections.js';

/**
 * More bytes than the operating system buffers for a caller that does not read.
 */
const LONG_ANSWER = Buffer.alloc(16_000_000, 'a');

const REQUEST = 'GET / HTTP/1.1\r\nHost: shop.example\r\n\r\n';

let server: Server;
let connections: CallerConnections;
let callers: Socket[];
/** For each request, whether `begin` accepted it. */
let beginResults: boolean[];

beforeEach(async () => {
  callers = [];
  beginResults = [];
  server = createServer();
  connections = new CallerConnections(server);
  server.on('request', (request, response) => {
    beginResults.push(connections.begin(request, response));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
});

afterEach(() => {
  for (const caller of callers) {
    caller.destroy();
  }
  server.close();
  server.closeAllConnections();
});

/** Connects a caller that sends the text immediately. */
async function callerSends(text: string): Promise<Socket> {
  const {port} = server.address() as AddressInfo;
  const caller = connect(port, '127.0.0.1');
  caller.on('error', () => {
    // Tests close connections from both sides.
  });
  callers.push(caller);
  await once(caller, 'connect');
  caller.write(text);
  return caller;
}

async function nextResponse(): Promise<ServerResponse> {
  const [, response] = (await once(server, 'request')) as [
    unknown,
    ServerResponse,
  ];
  return response;
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise(resolve => setTimeout(resolve, 1));
  }
}

describe('CallerConnections', () => {
  it('counts requests and answers in progress', async () => {
    // Guards against accepted work that is missing from the counts.
    const counts = () => connections.counts;
    await callerSends('');
    await until(() => counts().connections === 1);
    expect(counts()).toMatchObject({partialRequests: 0, runningRequests: 0});

    const caller = await callerSends('GET / HT');
    await until(() => counts().partialRequests === 1);

    caller.write('TP/1.1\r\nHost: shop.example\r\n\r\n');
    const response = await nextResponse();
    expect(counts()).toMatchObject({partialRequests: 0, runningRequests: 1});

    caller.pause();
    response.end(LONG_ANSWER);
    expect(counts()).toMatchObject({runningRequests: 0, unsentAnswers: 1});

    caller.resume();
    await until(() => counts().unsentAnswers === 0);
    expect(counts()).toEqual({
      connections: 2,
      idle: 2,
      partialRequests: 0,
      runningRequests: 0,
      unsentAnswers: 0,
    });

    caller.write('G');
    await until(() => counts().partialRequests === 1);
  });

  it('answers 408 to an incomplete request head while draining', async () => {
    // Guards against a stop that waits for a caller that stopped sending.
    const caller = await callerSends('GET / HT');
    await until(() => connections.counts.partialRequests === 1);
    const refused = once(caller, 'data');
    await connections.drain();
    const [refusal] = (await refused) as [Buffer];
    expect(refusal.toString()).toMatch(/^HTTP\/1.1 408 /);
  });

  it('does not begin a request that it has answered with 408', async () => {
    // Guards against running a request whose caller was told that it has not
    // run.
    const accepted = once(server, 'connection');
    const caller = await callerSends('GET / HT');
    const [socket] = (await accepted) as [Socket];
    await until(() => connections.counts.partialRequests === 1);
    const destroy = vi.spyOn(socket, 'destroy').mockReturnValue(socket);
    const refused = once(caller, 'data');
    const drained = connections.drain();
    await refused;
    const requested = once(server, 'request');
    caller.write('TP/1.1\r\nHost: shop.example\r\n\r\n');
    await requested;
    expect(beginResults).toEqual([false]);
    destroy.mockRestore();
    socket.destroy();
    await drained;
  });

  it('closes a connection without a request while draining', async () => {
    // Guards against a stop that waits for connections on which no request
    // came.
    const caller = await callerSends('');
    await until(() => connections.counts.connections === 1);
    await Promise.all([once(caller, 'close'), connections.drain()]);
  });
});

describe('CallerConnections without room', () => {
  const measures: RoomMeasure[] = [];
  const limitTo = (room: number, spare = 0) => {
    connections.limitTo(
      {minimum: 1, current: () => room, increase: () => spare},
      measure => measures.push(measure),
    );
  };

  beforeEach(() => {
    vi.useFakeTimers({toFake: ['performance']});
    measures.length = 0;
    limitTo(2);
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  const countIs = (count: number) =>
    until(() => connections.counts.connections === count);

  it('refuses a new one while callers may be about to send requests', async () => {
    const [one, other] = [await callerSends(''), await callerSends('')];
    await countIs(2);
    const refused = await callerSends('');
    await once(refused, 'close');
    expect([one, other].map(({destroyed}) => destroyed)).toEqual([
      false,
      false,
    ]);
    expect(measures).toEqual([RoomMeasure.Refused]);
  });

  it('takes room from kept connections to endpoints before it refuses one', async () => {
    // Guards against callers who are refused beside connections that nothing uses.
    limitTo(2, 1);
    await callerSends('');
    await callerSends('');
    await countIs(2);
    await callerSends(REQUEST);
    await nextResponse();
    expect(measures).toEqual([]);
  });

  it('closes the one that has been idle for longest for a new one', async () => {
    // Guards against refusing callers for others who send nothing.
    const busy = await callerSends(REQUEST);
    await nextResponse();
    const idle = await callerSends('');
    await countIs(2);
    vi.advanceTimersByTime(600);
    const added = await callerSends('');
    await once(idle, 'close');
    expect([busy, added].map(({destroyed}) => destroyed)).toEqual([
      false,
      false,
    ]);
    expect(measures).toEqual([RoomMeasure.Closed]);
  });

  it('closes the oldest one without a request before those that had one', async () => {
    // Guards against refusing callers while unused connections come faster than they age.
    const used = await callerSends(REQUEST);
    (await nextResponse()).end();
    await once(used, 'data');
    const unused = await callerSends('');
    await countIs(2);
    vi.advanceTimersByTime(150);
    const added = await callerSends(REQUEST);
    await Promise.all([once(unused, 'close'), nextResponse()]);
    vi.advanceTimersByTime(2_000);
    expect(connections.inUse).toBe(1);
    expect([used, added].map(({destroyed}) => destroyed)).toEqual([
      false,
      false,
    ]);
    expect(measures).toEqual([RoomMeasure.Closed]);
  });

  it('keeps one that was in use until it has been idle for longer', async () => {
    const used = await callerSends(REQUEST);
    (await nextResponse()).end();
    await once(used, 'data');
    await callerSends('');
    await countIs(2);
    vi.advanceTimersByTime(600);
    await callerSends('');
    await until(() => measures.length === 1);
    await countIs(2);
    expect(used.destroyed).toBe(false);
    vi.advanceTimersByTime(1_500);
    limitTo(1);
    const [last] = callers.slice(-1);
    last?.write(REQUEST);
    await once(used, 'close');
    expect(last?.destroyed).toBe(false);
  });
});
