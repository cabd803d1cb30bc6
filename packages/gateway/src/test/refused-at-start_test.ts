import {once} from 'node:events';
import {connect} from 'node:net';
import {afterEach, expect, it} from 'vitest';

import {CallerListener} from '../caller-listener.js';

const HEAD =
  'POST / HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 4\r\n\r\n';

let listener: CallerListener;

afterEach(() => {
  listener.close();
});

it.each(['', 'bo', 'body'])(
  'refuses a request that waits for a process that never starts (body "%s")',
  async body => {
    // Guards against connections that close without an answer when a start is abandoned.
    listener = new CallerListener(() => performance.now());
    await listener.listen({address: '127.0.0.1', port: 0});
    const caller = connect(listener.port, '127.0.0.1');
    let received = '';
    caller.on('data', data => {
      received += data.toString();
    });
    caller.write(HEAD + body);
    await once(listener.server, 'request');
    const refused = listener.refuse(0.1);
    await once(caller, 'close');
    await refused;
    expect(received).toMatch(/^HTTP\/1.1 503 .*Retry-After: 0.1\r\n/s);
  },
);
