import {createServer} from 'node:http';

import {delay} from './timing.mjs';

export const HEARTBEAT_MILLISECONDS = 1_200;
/** Check-in intervals of silence after which an entry is removed. */
const SILENT_HEARTBEATS = 3;
const FIRST_EVENT_MILLISECONDS = 40;
const EVENT_MILLISECONDS = 20;
/** Output tokens of an event, as the configuration says. */
export const STRIDE = 4;

let started = 0;

/** A model engine with sound behaviour; `crash` ends it as its process would end. */
export class Engine {
  isUp = false;
  seq = 0;
  running = 0;

  /**
   * @param onRun Called with each request that the engine begins to run; true if the
   *     engine crashes under it.
   */
  constructor(
    store,
    {
      service = 'models',
      zone = 'a',
      version = 'v1',
      eventMilliseconds = EVENT_MILLISECONDS,
    },
    onRun,
  ) {
    Object.assign(this, {
      store,
      service,
      zone,
      version,
      eventMilliseconds,
      onRun,
    });
  }

  /** Starts under a new identifier and address, or under those that it had. */
  async start({isSame = false} = {}) {
    if (!isSame) {
      this.id = `i-${process.pid.toString(16)}-${++started}`;
      this.port = 0;
    }
    this.born = Date.now();
    this.seq = 0;
    this.state = 'ready';
    this.sockets = new Set();
    this.server = createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 15_000;
    this.server.on('connection', socket => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
      socket.on('error', () => undefined);
    });
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.port, '127.0.0.1', resolve);
    });
    this.port = this.server.address().port;
    this.isUp = true;
    this.register();
    this.heartbeat = setInterval(() => this.register(), HEARTBEAT_MILLISECONDS);
  }

  /** Writes the engine's entry. */
  register() {
    this.seq++;
    this.store.put('keyed.servers', this.id, this.entry());
  }

  entry() {
    return {
      service: this.service,
      address: `127.0.0.1:${this.port}`,
      zone: this.zone,
      version: this.version,
      slots: 64,
      state: this.state,
      cold_remaining_ms: 0,
      seq: this.seq,
      born: this.born,
    };
  }

  /** Ends the engine at once; its entry is removed after three silent intervals. */
  crash() {
    if (!this.isUp) {
      return;
    }
    const {id} = this;
    this.stop();
    setTimeout(() => {
      if (!this.isUp || this.id !== id) {
        this.store.put('keyed.servers', id, undefined);
      }
    }, SILENT_HEARTBEATS * HEARTBEAT_MILLISECONDS).unref();
  }

  stop() {
    this.isUp = false;
    clearInterval(this.heartbeat);
    this.server?.close();
    for (const socket of this.sockets ?? []) {
      socket.resetAndDestroy();
    }
  }

  async serve(request, response) {
    const chunks = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    const {headers, url, method} = request;
    const expected = headers['x-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, {'X-Instance-Id': this.id}).end();
      return;
    }
    const attempt = headers['x-attempt-id'];
    if (attempt === undefined) {
      response.writeHead(400, {'X-Not-Executed': '1'}).end();
      return;
    }
    const body = Buffer.concat(chunks).toString();
    const isDeadly = this.onRun({
      engine: this,
      attempt,
      url,
      method,
      headers,
      body,
    });
    await delay(FIRST_EVENT_MILLISECONDS);
    if (isDeadly === true) {
      this.crash();
      return;
    }
    await this.stream(request, response, attempt);
  }

  async stream({headers}, response, attempt) {
    const [, output = 0] = (headers['x-token-count'] ?? '')
      .split(',')
      .map(Number);
    const events = Math.ceil(output / STRIDE);
    const {version} = this;
    const first = Number(headers['last-event-id'] ?? 0) + 1;
    response.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'X-Attempt-Id': attempt,
      'X-Server-Seal': `${this.id}.${attempt}`,
    });
    for (let id = first; id <= events && !response.destroyed; id++) {
      response.write(`id: ${id}\ndata: ${version} ${'t'.repeat(STRIDE)}\n\n`);
      await delay(this.eventMilliseconds);
    }
    response.end();
  }
}
