import {createServer, request} from 'node:http';
import type {AddressInfo} from 'node:net';
import {describe, expect, it} from 'vitest';

import {CallerExchange} from '../caller-exchange.js';
import type {CallerHeaders, Dialect} from '../dialect.js';

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
