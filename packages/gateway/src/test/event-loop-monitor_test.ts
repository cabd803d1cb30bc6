import {once} from 'node:events';
import {createServer} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';

import {EventLoopMonitor} from '../event-loop-monitor.js';

const REQUEST = 'GET / HTTP/1.1\r\nHost: shop.example\r\n\r\n';

/** A monitor on clocks that the test controls. */
class MonitorRig {
  now = 0;
  idle = 0;
  readonly turns: number[] = [];
  readonly monitor = new EventLoopMonitor(
    () => this.now,
    () => this.idle,
    milliseconds => {
      this.turns.push(milliseconds);
    },
  );
}

function nextTurn(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

describe('EventLoopMonitor', () => {
  it('distinguishes a busy turn from idle waiting', async () => {
    // Guards against attributing a late answer to endpoints although the event
    // loop was busy all the time.
    const rig = new MonitorRig();
    rig.now = 500;
    rig.idle = 500;
    expect(rig.monitor.requestRead()).toBe(0);
    await nextTurn();
    rig.now = 580;
    await nextTurn();
    expect(rig.turns).toEqual([0, 80]);
    expect(rig.monitor.reading).toEqual({
      turnMilliseconds: 80,
      busyMilliseconds: 80,
    });
    rig.now = 2_000;
    rig.idle = 1_900;
    expect(rig.monitor.requestRead()).toBe(0);
    expect(rig.monitor.reading.busyMilliseconds).toBe(0);
  });

  it('estimates the wait from the previous poll of the sockets', async () => {
    // Guards against taking a request for new that the host had no time to
    // read.
    const rig = new MonitorRig();
    rig.monitor.requestRead();
    await nextTurn();
    rig.now = 100;
    await nextTurn();
    rig.now = 130;
    expect(rig.monitor.requestRead()).toBe(30 + 100 / 2);
  });

  it('stops measuring when no more requests arrive', async () => {
    // Guards against a monitor that keeps the event loop awake, so that it is
    // never idle.
    const rig = new MonitorRig();
    rig.monitor.requestRead();
    for (let turn = 0; turn < 10; turn++) {
      await nextTurn();
      rig.now++;
    }
    expect(rig.turns).toHaveLength(3);
  });
});

describe('EventLoopMonitor on a real event loop', () => {
  const server = createServer();

  afterEach(() => {
    server.close();
    server.closeAllConnections();
  });

  it('measures the wait of a request while the loop was blocked', async () => {
    // Guards against counting a request that waited in its socket as new when
    // it is finally read.
    const busyMilliseconds = 200;
    const monitor = new EventLoopMonitor(
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
      waits.push(monitor.requestRead());
      response.end();
      if (waits.length === 1) {
        late.write(REQUEST);
        const until = performance.now() + busyMilliseconds;
        while (performance.now() < until) {
          // Blocks the event loop.
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
