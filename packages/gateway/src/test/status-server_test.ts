import {EventLog} from '@wisteriadeal/runtime';
import {LogLevel} from '@wisteriadeal/schema';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import {GatewayMetrics} from '../gateway-metrics.js';
import {GatewayStatus, StatusServer} from '../status-server.js';

const library = vi.hoisted(() => ({isLoaded: false}));

vi.mock('restify', async original => {
  library.isLoaded = true;
  return original();
});

/** A process that is ready or not, as the test says. */
class FixedStatus extends GatewayStatus {
  ready = true;
  readonly told: boolean[] = [];

  override probed(isReady: boolean): void {
    this.told.push(isReady);
  }

  override isReady(): boolean {
    return this.ready;
  }

  override dump(): Record<string, boolean> {
    return {ready: this.ready};
  }

  override refresh(): void {
    // Gauges stay as they are.
  }
}

let status: FixedStatus;
let server: StatusServer;

beforeEach(async () => {
  status = new FixedStatus();
  const events = EventLog.create(LogLevel.INFO, {}, () => undefined);
  server = new StatusServer('/ready', status, new GatewayMetrics(), events);
  const anyPort = {address: '127.0.0.1', port: 0};
  await server.listen(anyPort, anyPort);
});

afterEach(() => {
  server.close();
});

describe('StatusServer', () => {
  it('tells of readiness before the library of the status pages is loaded', async () => {
    // The callers of a host that lost power come back as soon as it listens. Loading
    // the library takes longer than the rest of the start, and holds all of them up.
    const url = `http://127.0.0.1:${server.readyPort}`;
    expect((await fetch(`${url}/ready`)).status).toBe(200);
    status.ready = false;
    expect((await fetch(`${url}/ready`)).status).toBe(503);
    expect((await fetch(`${url}/other`)).status).toBe(404);
    expect(library.isLoaded).toBe(false);
  });

  it('tells what each readiness probe was answered', async () => {
    const url = `http://127.0.0.1:${server.readyPort}`;
    await fetch(`${url}/ready`);
    status.ready = false;
    await fetch(`${url}/ready`);
    await fetch(`${url}/other`);
    expect(status.told).toEqual([true, false]);
  });

  it('serves metrics and the dump to whoever asks', async () => {
    const url = `http://127.0.0.1:${server.statusPort}`;
    const dump = await fetch(`${url}/state`);
    expect(await dump.json()).toEqual({ready: true});
    const metrics = await fetch(`${url}/metrics`);
    expect(await metrics.text()).toContain('wisteriadeal_requests_total');
  });
});
