import {createClient} from '@connectrpc/connect';
import {
  createConnectTransport,
  Http2SessionManager,
} from '@connectrpc/connect-node';
import {InspectionService} from '@wisteriadeal/schema';
import {describe, expect, it} from 'vitest';

import {ControlServer} from '../control-server.js';
import {
  Inspectable,
  registerInspection,
  type JsonValue,
} from '../inspection.js';

/** A process whose state has long lists, as under overload. */
class ProcessWithLongLists extends Inspectable {
  override dumpState(maximumItems: number): JsonValue {
    return {
      requests: Array.from({length: 5_000}, (_, index) => `req_${index}`).slice(
        0,
        maximumItems,
      ),
    };
  }
  override explainRequest(requestId: string): JsonValue | undefined {
    return requestId === 'req_1' ? {states: ['begun']} : undefined;
  }
  override explainBudget(): JsonValue | undefined {
    return undefined;
  }
}

async function startInspectedProcess() {
  const server = await ControlServer.listen('127.0.0.1', 0, router => {
    registerInspection(router, new ProcessWithLongLists());
  });
  const baseUrl = `http://${server.address}`;
  const sessions = new Http2SessionManager(baseUrl);
  const transport = createConnectTransport({
    baseUrl,
    httpVersion: '2',
    sessionManager: sessions,
  });
  return {server, sessions, client: createClient(InspectionService, transport)};
}

describe('the inspection service', () => {
  it('shortens lists until a dump fits the size limit', async () => {
    const {server, sessions, client} = await startInspectedProcess();
    const sizes: number[] = [];
    for (const maximumBytes of [0, 4_096, 256]) {
      const {stateJson} = await client.dump({maximumBytes});
      const state = JSON.parse(stateJson) as {requests: string[]};
      expect(state.requests.length).toBeGreaterThan(0);
      sizes.push(stateJson.length);
    }
    const [unlimited = 0, larger = 0, smaller = 0] = sizes;
    expect(unlimited).toBeLessThanOrEqual(262_144);
    expect(larger).toBeLessThanOrEqual(4_096);
    expect(smaller).toBeLessThanOrEqual(256);
    expect(larger).toBeLessThan(unlimited);
    const {stateJson} = await client.dump({maximumBytes: 10});
    expect(JSON.parse(stateJson)).toEqual({truncated: true});
    sessions.abort();
    await server.close();
  });

  it('distinguishes known from unknown requests', async () => {
    const {server, sessions, client} = await startInspectedProcess();
    const known = await client.explainRequest({requestId: 'req_1'});
    const unknown = await client.explainRequest({requestId: 'req_2'});
    expect(JSON.parse(known.explanationJson)).toEqual({states: ['begun']});
    expect(unknown.known).toBe(false);
    sessions.abort();
    await server.close();
  });

  // Closing an HTTP/2 server waits for its sessions, which peers keep open for hours.
  // If the sessions were not destroyed, a stopping process would never exit, and the
  // platform would kill it with work in progress.
  it('closes while a peer keeps its session open', async () => {
    const {server, sessions, client} = await startInspectedProcess();
    await client.dump({maximumBytes: 256});
    await server.close();
    await expect(client.dump({maximumBytes: 256})).rejects.toThrow();
    sessions.abort();
  });
});
