import {createServer as createHttpServer} from 'node:http';
import {connect, createServer} from 'node:net';

/**
 * The paths from gateways to engines: each gateway gets addresses of its own for the
 * engines, behind which a proxy forwards to them. A gateway can be partitioned from all
 * engines, and an engine can tell which machine a channel comes from.
 */
export class HostPaths {
  hosts = [];
  /** The gateway of each channel to an engine, by the ports of its two ends. */
  owners = new Map();

  constructor(store) {
    this.store = store;
  }

  /** Adds a gateway; resolves with the address of its view of the store. */
  async add() {
    const host = {index: this.hosts.length, proxies: new Map(), isCut: false};
    this.hosts.push(host);
    const view = Object.create(this.store);
    const seen = [];
    view.partition = (topic, part) =>
      topic === 'keyed.servers' ? seen : this.store.partition(topic, part);
    host.server = createHttpServer((request, response) => {
      this.translateNew(host, seen)
        .then(() => view.serve(request, response))
        .catch(() => response.destroy());
    });
    await new Promise(resolve => host.server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${host.server.address().port}`;
  }

  /** The machine from which a channel comes. */
  machineOf(socket) {
    return this.owners.get(`${socket.remotePort} ${socket.localPort}`);
  }

  /** Resets the gateway's channels to all engines; new ones are refused. */
  cut(index) {
    const host = this.hosts[index];
    host.isCut = true;
    for (const proxy of host.proxies.values()) {
      proxy.server.close();
      for (const socket of proxy.sockets) {
        socket.resetAndDestroy();
      }
    }
  }

  close() {
    for (const {server, proxies} of this.hosts) {
      server.closeAllConnections();
      server.close();
      for (const proxy of proxies.values()) {
        proxy.server.close();
        proxy.sockets.forEach(socket => socket.destroy());
      }
    }
  }

  /** Adds records of engines with the addresses that the gateway sees. */
  async translateNew(host, seen) {
    const records = this.store.partition('keyed.servers', 0);
    while (seen.length < records.length) {
      const record = records[seen.length];
      const end = 1 + record[0];
      if (record.length === end) {
        seen.push(record);
        continue;
      }
      const entry = JSON.parse(record.subarray(end));
      const port = await this.proxyPort(
        host,
        Number(entry.address.split(':')[1]),
      );
      const text = JSON.stringify({...entry, address: `127.0.0.1:${port}`});
      seen.push(Buffer.concat([record.subarray(0, end), Buffer.from(text)]));
    }
  }

  async proxyPort(host, enginePort) {
    let proxy = host.proxies.get(enginePort);
    if (proxy === undefined) {
      proxy = {sockets: new Set()};
      host.proxies.set(enginePort, proxy);
      proxy.server = createServer(socket => {
        this.forward(host, proxy, socket, enginePort);
      });
      await new Promise(resolve =>
        proxy.server.listen(0, '127.0.0.1', resolve),
      );
      proxy.port = proxy.server.address().port;
      if (host.isCut) {
        proxy.server.close();
      }
    }
    return proxy.port;
  }

  forward(host, {sockets}, inbound, port) {
    const outbound = connect({port, host: '127.0.0.1', noDelay: true});
    inbound.setNoDelay(true);
    sockets.add(inbound);
    outbound.on('connect', () => {
      this.owners.set(`${outbound.localPort} ${port}`, host.index);
    });
    outbound.on('error', () => inbound.resetAndDestroy());
    inbound.on('error', () => outbound.resetAndDestroy());
    outbound.pipe(inbound);
    inbound.pipe(outbound);
    inbound.on('close', () => {
      sockets.delete(inbound);
      outbound.destroy();
    });
    outbound.on('close', () => inbound.destroy());
  }
}
