import {createServer} from 'node:http';

const HEARTBEAT_MILLISECONDS = 1_200;

/** A stand-in of an engine that registers in the store and answers as it is told. */
export class Engine {
  sequence = 0;
  state = 'ready';
  born = Date.now();
  requests = [];

  /**
   * @param place Identifier, service, zone, software version and slots.
   * @param serve Called with each request that this engine may run.
   */
  constructor(store, place, serve) {
    this.store = store;
    this.place = place;
    this.serve = serve;
    this.server = createServer((request, response) => {
      this.receive(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 30_000;
  }

  async start() {
    await new Promise(resolve => this.server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${this.server.address().port}`;
    this.beat();
    this.timer = setInterval(() => this.beat(), HEARTBEAT_MILLISECONDS);
  }

  beat() {
    const {id, service, zone, version, slots} = this.place;
    this.store.put('keyed.servers', id, {
      service,
      address: this.address,
      zone,
      version,
      slots,
      state: this.state,
      cold_remaining_ms: 0,
      seq: this.sequence++,
      born: this.born,
    });
  }

  /** Ends without notice: all channels break, and new ones are refused. */
  crash() {
    this.close();
  }

  /** Starts again under its identifier and at its address, with other software. */
  async startAgain(version) {
    this.place = {...this.place, version};
    this.born = Date.now();
    this.sequence = 0;
    const port = Number(this.address.split(':')[1]);
    await new Promise(resolve =>
      this.server.listen(port, '127.0.0.1', resolve),
    );
    this.beat();
    this.timer = setInterval(() => this.beat(), HEARTBEAT_MILLISECONDS);
  }

  close() {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  async receive(request, response) {
    const expected = request.headers['x-expect-instance'];
    if (expected !== undefined && expected !== this.place.id) {
      request.resume();
      response.writeHead(421, {'X-Instance-Id': this.place.id}).end();
      return;
    }
    const chunks = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    const attempt = request.headers['x-attempt-id'];
    const received = {
      engine: this.place.id,
      attempt,
      at: performance.now(),
      peerPort: request.socket.remotePort,
    };
    this.requests.push(received);
    await this.serve({
      request,
      response,
      received,
      body: Buffer.concat(chunks),
      head: {
        'X-Attempt-Id': attempt,
        'X-Server-Seal': `${this.place.id}.${attempt}`,
      },
    });
  }
}

/** Answers with the events after the one that the request names, in equal intervals. */
export function streamEvents(
  {request, response, head, received},
  {count, milliseconds, text = received.engine},
) {
  const last = Number(request.headers['last-event-id'] ?? 0);
  received.from = last + 1;
  response.writeHead(200, {...head, 'Content-Type': 'text/event-stream'});
  response.flushHeaders();
  let id = last;
  const timer = setInterval(() => {
    if (id >= count) {
      clearInterval(timer);
      response.end();
      return;
    }
    id++;
    response.write(`id: ${id}\ndata: ${text} ${id}\n\n`);
  }, milliseconds);
  response.once('close', () => {
    clearInterval(timer);
    received.endedAt = performance.now();
    received.to = id;
  });
}
