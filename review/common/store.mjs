import {createServer} from 'node:http';

import {delay} from './timing.mjs';

const CALL_MILLISECONDS = 4;
const POLL_MILLISECONDS = 5;

/**
 * The platform's metadata store, as far as the gateway uses it: appends, reads and the
 * newest records of keyed topics.
 */
export class Store {
  partitions = new Map();
  /** When the records of each partition were written. */
  times = new Map();
  /** Records are dropped after this time; the newest of each key is kept. */
  keepMilliseconds = Infinity;
  /** Share of the writes whose answers are lost; they are done 1 to 6 s later. */
  lostShare = 0;

  async listen() {
    this.server = createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
    await new Promise(resolve => this.server.listen(0, '127.0.0.1', resolve));
  }

  get address() {
    return `127.0.0.1:${this.server.address().port}`;
  }

  /** Writes a record of the operator or of a server; no value deletes the key. */
  put(topic, key, value) {
    const name = Buffer.from(key);
    const bytes =
      value === undefined ? [] : [Buffer.from(JSON.stringify(value))];
    return this.append(topic, 0, [
      Buffer.concat([Buffer.from([name.length]), name, ...bytes]),
    ]);
  }

  append(topic, part, records) {
    const stored = this.partition(topic, part);
    const offset = stored.length;
    stored.push(...records);
    const times = this.times.get(stored) ?? [];
    this.times.set(stored, times);
    times.push(...records.map(() => performance.now()));
    return {offset, end: stored.length};
  }

  /** Offset of the oldest record that is still there. */
  firstOffset(stored) {
    const oldest = performance.now() - this.keepMilliseconds;
    const times = this.times.get(stored) ?? [];
    const first = times.findIndex(at => at >= oldest);
    return first === -1 ? stored.length : first;
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }

  partition(topic, part) {
    const name = `${topic}/${part}`;
    const stored = this.partitions.get(name) ?? [];
    this.partitions.set(name, stored);
    return stored;
  }

  async serve(request, response) {
    const chunks = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    const url = new URL(request.url, 'http://store');
    const topic = url.searchParams.get('topic') ?? '';
    const part = Number(url.searchParams.get('part') ?? 0);
    await delay(CALL_MILLISECONDS);
    if (url.pathname === '/-/log-append') {
      this.serveAppend(topic, part, Buffer.concat(chunks), response);
    } else if (url.pathname === '/-/log-read') {
      await this.serveRead(topic, part, url.searchParams, response);
    } else if (url.pathname === '/-/log-newest') {
      this.serveNewest(topic, part, response);
    } else {
      response.writeHead(404).end();
    }
  }

  serveAppend(topic, part, body, response) {
    if (topic === 'keyed.op' || topic === 'keyed.servers') {
      response.writeHead(403).end('{}');
      return;
    }
    const records = decodeFrames(body);
    if (Math.random() >= this.lostShare) {
      sendJson(response, this.append(topic, part, records));
      return;
    }
    // The channel returns nothing further; the write is done 1 to 6 s later.
    const late = 1_000 + 5_000 * Math.random();
    setTimeout(() => this.append(topic, part, records), late).unref();
  }

  async serveRead(topic, part, query, response) {
    const from = Number(query.get('from') ?? 0);
    const maximumBytes = 1_024 * Number(query.get('max_kb') ?? 1_024);
    const until = performance.now() + Number(query.get('wait_ms') ?? 0);
    const stored = this.partition(topic, part);
    const first = this.firstOffset(stored);
    if (from < first) {
      response.writeHead(410, {'Content-Type': 'application/json'});
      response.end(JSON.stringify({first}));
      return;
    }
    while (stored.length <= from && performance.now() < until) {
      await delay(POLL_MILLISECONDS);
    }
    const frames = [];
    let bytes = 0;
    for (const record of stored.slice(from)) {
      bytes += record.length;
      if (frames.length > 0 && bytes > maximumBytes) {
        break;
      }
      frames.push(encodeFrame(record));
    }
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(stored.length), 0);
    head.writeBigUInt64BE(BigInt(first), 8);
    response.end(Buffer.concat([head, ...frames]));
  }

  serveNewest(topic, part, response) {
    const newest = new Map();
    const stored = this.partition(topic, part);
    stored.forEach((record, offset) => {
      const length = record[0];
      const key = record.subarray(1, 1 + length).toString();
      const value = record.subarray(1 + length);
      newest.delete(key);
      if (value.length > 0) {
        newest.set(key, {key, value: value.toString('base64'), offset});
      }
    });
    sendJson(response, {
      items: [...newest.values()],
      more: false,
      end: stored.length,
    });
  }
}

function sendJson(response, value) {
  response.writeHead(200, {'Content-Type': 'application/json'});
  response.end(JSON.stringify(value));
}

function encodeFrame(record) {
  const length = Buffer.alloc(4);
  length.writeUInt32BE(record.length);
  return Buffer.concat([length, record]);
}

function decodeFrames(body) {
  const records = [];
  for (let at = 0; at + 4 <= body.length;) {
    const length = body.readUInt32BE(at);
    records.push(body.subarray(at + 4, at + 4 + length));
    at += 4 + length;
  }
  return records;
}
