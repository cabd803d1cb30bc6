import {once} from 'node:events';
import {connect, createServer, type AddressInfo, type Socket} from 'node:net';
import {afterEach, expect, test} from 'vitest';

import {Relay, RelayState} from '../relay.js';

const closers: (() => Promise<void> | void)[] = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

async function echoThroughRelay(): Promise<Relay> {
  const server = createServer(socket => {
    socket.on('error', () => {
      socket.destroy();
    });
    socket.pipe(socket);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const relay = await Relay.listen(`127.0.0.1:${port}`);
  closers.push(() => {
    server.close();
  });
  closers.push(() => relay.close());
  return relay;
}

function connectTo(relay: Relay): Socket {
  const [host, port] = relay.address.split(':');
  const socket = connect({host: host ?? '', port: Number(port)});
  socket.on('error', () => {
    socket.destroy();
  });
  closers.push(() => {
    socket.destroy();
  });
  return socket;
}

/**
 * Resolves when a socket is closed. `events.once` would reject on the error of the
 * preceding reset.
 */
function closed(socket: Socket): Promise<void> {
  return new Promise(resolve => {
    socket.once('close', () => {
      resolve();
    });
  });
}

async function echo(socket: Socket, text: string): Promise<string> {
  socket.write(text);
  const [data] = (await once(socket, 'data')) as [Buffer];
  return data.toString();
}

test('an open relay forwards bytes in both directions', async () => {
  const socket = connectTo(await echoThroughRelay());
  expect(await echo(socket, 'hello')).toBe('hello');
});

test('a silent relay drops data and resets its connections when it opens', async () => {
  const relay = await echoThroughRelay();
  const socket = connectTo(relay);
  await echo(socket, 'before');
  relay.setState(RelayState.Silent);
  const received: string[] = [];
  socket.on('data', data => received.push(data.toString()));
  socket.write('lost');
  const late = connectTo(relay);
  await once(late, 'connect');
  const ended = Promise.all([closed(socket), closed(late)]);
  relay.setState(RelayState.Open);
  await ended;
  expect(received).toEqual([]);
  expect(await echo(connectTo(relay), 'after')).toBe('after');
});

test('a refusing relay resets new connections', async () => {
  const relay = await echoThroughRelay();
  relay.setState(RelayState.Refusing);
  const socket = connectTo(relay);
  await closed(socket);
  expect(socket.destroyed).toBe(true);
});
