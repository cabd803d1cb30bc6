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

function dial(relay: Relay): Socket {
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

/** `events.once` would reject on the reset that comes first. */
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

test('an open relay passes bytes both ways', async () => {
  const socket = dial(await echoThroughRelay());
  expect(await echo(socket, 'hello')).toBe('hello');
});

test('a silent cut swallows what is sent and is reset when it heals', async () => {
  const relay = await echoThroughRelay();
  const socket = dial(relay);
  await echo(socket, 'before');
  relay.set(RelayState.Silent);
  const heard: string[] = [];
  socket.on('data', data => heard.push(data.toString()));
  socket.write('lost');
  const late = dial(relay);
  await once(late, 'connect');
  const ended = Promise.all([closed(socket), closed(late)]);
  relay.set(RelayState.Open);
  await ended;
  expect(heard).toEqual([]);
  expect(await echo(dial(relay), 'after')).toBe('after');
});

test('a refusing relay resets new connections', async () => {
  const relay = await echoThroughRelay();
  relay.set(RelayState.Refusing);
  const socket = dial(relay);
  await closed(socket);
  expect(socket.destroyed).toBe(true);
});
