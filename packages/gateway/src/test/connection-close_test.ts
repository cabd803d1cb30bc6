import {createServer, type Server} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';

import {CallerConnections} from '../caller-connections.js';

let server: Server;
let caller: Socket;

/**
 * Answers each request some time after its head, and closes connections when
 * possible.
 */
async function serve(milliseconds: number): Promise<void> {
  server = createServer((request, response) => {
    connections.begin(request, response);
    setTimeout(() => {
      if (connections.canCloseAfter(request, response)) {
        response.shouldKeepAlive = false;
      }
      response.end('answer');
    }, milliseconds);
  });
  const connections = new CallerConnections(server);
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
}

/**
 * Writes the parts as a caller, and returns what it reads until this many
 * answers have arrived.
 */
async function exchange(
  parts: readonly string[],
  answers = 1,
): Promise<string> {
  caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
  let read = '';
  caller.on('data', chunk => {
    read += chunk.toString();
  });
  for (const part of parts) {
    caller.write(part);
    await new Promise(resolve => setTimeout(resolve, 20));
  }
  while (read.split('answer').length <= answers && !caller.destroyed) {
    await new Promise(resolve => setTimeout(resolve, 5));
  }
  return read;
}

const REQUEST = 'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n';

afterEach(() => {
  caller.destroy();
  server.closeAllConnections();
  server.close();
});

describe('CallerConnections.canCloseAfter', () => {
  it('closes a connection with the only answer on it', async () => {
    await serve(1);
    expect(await exchange([REQUEST])).toContain('Connection: close');
  });

  it('answers both of two requests that were sent together', async () => {
    // Guards against a request that is served but gets no answer.
    await serve(30);
    const read = await exchange([REQUEST + REQUEST], 2);
    expect(read.split('HTTP/1.1 200').length - 1).toBe(2);
  });

  it('keeps the connection of a request whose body is still being received', async () => {
    // Guards against resetting the connection before its caller has read the
    // refusal.
    await serve(1);
    const head = REQUEST.replace('Length: 0', 'Length: 4');
    const read = await exchange([head, 'body']);
    expect(read).toContain('200 OK');
    expect(read).not.toContain('Connection: close');
  });
});
