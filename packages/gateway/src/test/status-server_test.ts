import {EventLog} from '@wisteriadeal/runtime';
import {LogLevel} from '@wisteriadeal/schema';
import {once} from 'node:events';
import {request, type IncomingMessage} from 'node:http';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import {GatewayMetrics} from '../gateway-metrics.js';
import {GatewayStatus, StatusServer} from '../status-server.js';

const library = vi.hoisted(() => ({isLoaded: false}));

vi.mock('restify', async original => {
  library.isLoaded = true;
  return original();
});

/** A status whose readiness the test sets. */
class StubStatus extends GatewayStatus {
  ready = true;
  readonly probeAnswers: boolean[] = [];

  override readinessAnswered(isReady: boolean): void {
    this.probeAnswers.push(isReady);
  }

  override isReady(): boolean {
    return this.ready;
  }

  override dump(): Record<string, boolean> {
    return {ready: this.ready};
  }

  override refreshGauges(): void {
    // The test needs no gauges.
  }
}

let status: StubStatus;
let server: StatusServer;

beforeEach(async () => {
  status = new StubStatus();
  const events = EventLog.create(LogLevel.INFO, {}, () => undefined);
  server = new StatusServer('/ready', status, new GatewayMetrics(), events);
  const anyPort = {address: '127.0.0.1', port: 0};
  await server.listen(anyPort, anyPort);
});

afterEach(() => {
  server.close();
});

describe('StatusServer', () => {
  it('serves readiness without loading the library of the status pages', async () => {
    // Guards against delaying callers at a start. The callers of a host that
    // lost power reconnect as soon as it listens, and loading the library
    // blocks them for longer than the rest of the start.
    const url = `http://127.0.0.1:${server.readyPort}`;
    expect((await fetch(`${url}/ready`)).status).toBe(200);
    status.ready = false;
    expect((await fetch(`${url}/ready`)).status).toBe(503);
    expect((await fetch(`${url}/other`)).status).toBe(404);
    expect(library.isLoaded).toBe(false);
  });

  it('reports the answer to each readiness probe', async () => {
    const url = `http://127.0.0.1:${server.readyPort}`;
    await fetch(`${url}/ready`);
    status.ready = false;
    await fetch(`${url}/ready`);
    await fetch(`${url}/other`);
    expect(status.probeAnswers).toEqual([true, false]);
  });

  it('answers a request target that is not a valid URL', async () => {
    // Guards against one malformed request that ends the process with all others.
    const port = server.statusPort;
    for (const path of ['http://[::1', '/state?%', '/%', '*']) {
      const outgoing = request({host: '127.0.0.1', port, path}).end();
      const [answer] = (await once(outgoing, 'response')) as [IncomingMessage];
      expect(answer.resume().statusCode).toBe(path === '/state?%' ? 200 : 404);
    }
  });

  it('serves metrics and the state dump', async () => {
    const url = `http://127.0.0.1:${server.statusPort}`;
    const dump = await fetch(`${url}/state`);
    expect(await dump.json()).toEqual({ready: true});
    const metrics = await fetch(`${url}/metrics`);
    expect(await metrics.text()).toContain('wisteriadeal_requests_total');
  });
});
