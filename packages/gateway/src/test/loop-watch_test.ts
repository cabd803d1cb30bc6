import {once} from 'node:events';
import {createServer} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';

import {LoopWatch} from '../loop-watch.js';

const REQUEST = 'GET / HTTP/1.1\r\nHost: shop.example\r\n\r\n';

/** A watch on clocks that the test owns. */
class WatchRig {
  now = 0;
  idle = 0;
  readonly turns: number[] = [];
  readonly watch = new LoopWatch(
    () => this.now,
    () => this.idle,
    milliseconds => {
      this.turns.push(milliseconds);
    },
  );
}

function turnOfLoop(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

describe('LoopWatch', () => {
  it('tells a turn of work from a wait for endpoints', async () => {
    // A late answer is put down to endpoints though the loop was at work all the time.
    const rig = new WatchRig();
    rig.now = 500;
    rig.idle = 500;
    expect(rig.watch.requested()).toBe(0);
    await turnOfLoop();
    rig.now = 580;
    await turnOfLoop();
    expect(rig.turns).toEqual([0, 80]);
    expect(rig.watch.reading).toEqual({
      turnMilliseconds: 80,
      busyMilliseconds: 80,
    });
    rig.now = 2_000;
    rig.idle = 1_900;
    expect(rig.watch.requested()).toBe(0);
    expect(rig.watch.reading.busyMilliseconds).toBe(0);
  });

  it('counts the wait since the look at the sockets before', async () => {
    // A request looks new to a host that had no time to read it.
    const rig = new WatchRig();
    rig.watch.requested();
    await turnOfLoop();
    rig.now = 100;
    await turnOfLoop();
    rig.now = 130;
    expect(rig.watch.requested()).toBe(30 + 100 / 2);
  });

  it('stops looking when no more requests come', async () => {
    // The watch itself keeps the loop awake, and it is never idle.
    const rig = new WatchRig();
    rig.watch.requested();
    for (let turn = 0; turn < 10; turn++) {
      await turnOfLoop();
      rig.now++;
    }
    expect(rig.turns).toHaveLength(3);
  });
});

describe('LoopWatch on a real loop', () => {
  const server = createServer();

  afterEach(() => {
    server.close();
    server.closeAllConnections();
  });

  it('knows that a request waited while the loop was held up', async () => {
    // A request that waited in its socket counts as new when it is read at last.
    const busyMilliseconds = 200;
    const watch = new LoopWatch(
      () => performance.now(),
      () => performance.nodeTiming.idleTime,
      () => undefined,
    );
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    const [early, late] = [connect(port), connect(port)];
    await Promise.all([once(early, 'connect'), once(late, 'connect')]);
    const waits: number[] = [];
    server.on('request', (_request, response) => {
      waits.push(watch.requested());
      response.end();
      if (waits.length === 1) {
        late.write(REQUEST);
        const until = performance.now() + busyMilliseconds;
        while (performance.now() < until) {
          // The loop is held up.
        }
      }
    });
    early.write(REQUEST);
    await once(late, 'data');
    expect(waits[1]).toBeGreaterThan(busyMilliseconds / 2);
    early.destroy();
    late.destroy();
  });
});
