import {create} from '@bufbuild/protobuf';
import {MetricsSettingsSchema} from '@wisteriadeal/schema';
import {createSocket, type Socket} from 'node:dgram';
import {once} from 'node:events';
import {describe, expect, it} from 'vitest';

import {createMetrics, NoMetrics} from '../metrics.js';

const LARGEST_DATAGRAM_BYTES = 65_507;

async function receiver(): Promise<{socket: Socket; port: number}> {
  const socket = createSocket('udp4');
  socket.bind(0, '127.0.0.1');
  await once(socket, 'listening');
  return {socket, port: socket.address().port};
}

function metricsTo(port: number) {
  const settings = create(MetricsSettingsSchema, {address: '127.0.0.1', port});
  return createMetrics(settings, {process: 'router', host: 'h1'});
}

describe('metrics', () => {
  it('are sent as StatsD datagrams with prefix and tags', async () => {
    const {socket, port} = await receiver();
    const arrived = once(socket, 'message') as Promise<[Buffer]>;
    const metrics = metricsTo(port);
    metrics.increment('request.answered', 2);
    await metrics.close();
    const [message] = await arrived;
    expect(message.toString().trim()).toBe(
      'wisteriadeal.request.answered:2|c|#process:router,host:h1',
    );
    socket.close();
  });

  // The receiver is gone and the system rejects a datagram: here one that is too
  // large, in production also one from a host without a route. Requests must not be
  // affected: nothing is thrown or awaited, and shutdown is not delayed.
  it('are discarded without an error if they can not be sent', async () => {
    const {socket, port} = await receiver();
    socket.close();
    await once(socket, 'close');
    const metrics = metricsTo(port);
    for (let count = 0; count < 10_000; count++) {
      metrics.increment('request.answered');
      metrics.gauge('queue', count);
      metrics.timing('request.duration', count);
    }
    metrics.increment('x'.repeat(LARGEST_DATAGRAM_BYTES + 1));
    await metrics.close();
    expect(() => {
      metrics.increment('request.answered');
    }).not.toThrow();
  });

  it('are not sent if the settings name no receiver', async () => {
    const metrics = createMetrics(undefined, {process: 'router'});
    expect(metrics).toBeInstanceOf(NoMetrics);
    metrics.increment('request.answered');
    await metrics.close();
  });
});
