import {once} from 'node:events';
import {createServer, request, type ClientRequest} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {describe, expect, it} from 'vitest';

import {BodyEndedError, CallerExchange} from '../caller-exchange.js';
import type {CallerHeaders, Dialect} from '../dialect.js';
import {HeldKind, InputAccount} from '../input-memory/index.js';

const HEADERS: CallerHeaders = {
  attemptId: 'a',
  host: 'shop.example',
  key: undefined,
  deadlineMilliseconds: undefined,
  promptTokens: 0,
  maximumOutputTokens: 0,
  lengthHint: undefined,
  promptParts: [],
  lastEventId: undefined,
  resumedAttemptId: undefined,
};

const dialect = {callerHeaders: () => HEADERS} as unknown as Dialect;

describe('CallerExchange', () => {
  it('survives a caller that disconnects between two events', async () => {
    // Guards against the process ending with all its requests. It happens when
    // an event is written after the caller's connection was destroyed, and the
    // error that follows has no listener.
    const escaped: unknown[] = [];
    const catchEscaped = (error: unknown) => {
      escaped.push(error);
    };
    process.on('uncaughtException', catchEscaped);
    const written = new Promise<CallerExchange>(resolve => {
      const server = createServer((incoming, response) => {
        const caller = new CallerExchange(dialect, incoming, response, 0, 0);
        caller.beginStream(200, []);
        response.destroy();
        void Promise.resolve(caller.write(Buffer.from('id: 1\n\n')))
          .then(() => new Promise(done => setTimeout(done, 50)))
          .then(() => {
            server.close();
            resolve(caller);
          });
      });
      server.listen(0, '127.0.0.1', () => {
        const {port} = server.address() as AddressInfo;
        const outgoing = request({host: '127.0.0.1', port, agent: false});
        outgoing.on('error', () => {
          // The server destroys the connection.
        });
        outgoing.end();
      });
    });
    const caller = await written;
    process.off('uncaughtException', catchEscaped);
    expect(escaped).toEqual([]);
    expect(caller.disconnectSignal.aborted).toBe(true);
  });
});

describe('the account of an answer', () => {
  it('holds nothing once its connection has closed', async () => {
    // Guards against memory that never counts as free again.
    const account = new InputAccount();
    const server = createServer();
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    const socket = connect(port, '127.0.0.1');
    const queued = new Promise<CallerExchange>(resolve => {
      server.on('request', (incoming, response) => {
        const caller = new CallerExchange(
          dialect,
          incoming,
          response,
          0,
          0,
          () => false,
          true,
          account,
        );
        if (incoming.url === '/queued') {
          incoming.socket.once('close', () => {
            resolve(caller);
          });
          socket.destroy();
        }
      });
    });
    socket.write(
      ['/', '/queued']
        .map(path => `GET ${path} HTTP/1.1\r\nHost: shop.example\r\n\r\n`)
        .join(''),
    );
    const caller = await queued;
    caller.answer(503, [], Buffer.from('not run'));
    server.close();
    expect(account.bytesOf(HeldKind.UnreadAnswer)).toBe(0);
  });
});

describe('CallerExchange without room in memory', () => {
  const CAPACITY = 1_000_000;
  const PART = Buffer.alloc(64 * 1_024);

  /** Serves one request, and resolves with what the server has made of it. */
  async function serveOne<Result>(
    account: InputAccount,
    serve: (caller: CallerExchange) => Promise<Result>,
    send: (outgoing: ClientRequest) => void,
  ): Promise<Result> {
    const server = createServer();
    const served = new Promise<Result>((resolve, reject) => {
      server.once('request', (incoming, response) => {
        serve(
          new CallerExchange(
            dialect,
            incoming,
            response,
            0,
            0,
            () => false,
            true,
            account,
          ),
        ).then(resolve, reject);
      });
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    const outgoing = request({host: '127.0.0.1', port, method: 'POST'});
    outgoing.on('error', () => {
      // The server destroys the connection.
    });
    send(outgoing);
    try {
      return await served;
    } finally {
      outgoing.destroy();
      server.close();
    }
  }

  it('gives up a body that is still being received', async () => {
    // Guards against callers whose bodies together fill the memory.
    const account = new InputAccount({capacityBytes: CAPACITY});
    const error = await serveOne(
      account,
      caller => caller.readBody(Infinity).catch((reason: unknown) => reason),
      outgoing => {
        const sendParts = () => {
          while (!outgoing.destroyed && outgoing.write(PART)) {
            // The system takes more.
          }
        };
        outgoing.on('drain', sendParts);
        sendParts();
      },
    );
    expect(error).toBeInstanceOf(BodyEndedError);
    expect(account.bytesOf(HeldKind.RequestBody)).toBe(0);
  });

  it('closes the connection of a caller that does not read its answer', async () => {
    // Guards against callers whose unread answers together fill the memory.
    const account = new InputAccount({capacityBytes: CAPACITY});
    await serveOne(
      account,
      async caller => {
        caller.beginStream(200, []);
        await caller.write(Buffer.alloc(16 * CAPACITY));
        expect(caller.disconnectSignal.aborted).toBe(true);
      },
      outgoing => {
        outgoing.once('response', incoming => incoming.pause());
        outgoing.end();
      },
    );
    expect(account.bytesOf(HeldKind.UnreadAnswer)).toBe(0);
  });
});
