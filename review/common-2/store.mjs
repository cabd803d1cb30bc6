import {createServer} from 'node:http';

const POLL_MILLISECONDS = 5;
const ANSWER_MILLISECONDS = 4;
const MAXIMUM_ITEMS = 500;

const delay = milliseconds =>
  new Promise(resolve => setTimeout(resolve, milliseconds));

function decodeKeyed(bytes) {
  const length = bytes[0] ?? 0;
  return {
    key: bytes.subarray(1, 1 + length).toString('utf8'),
    value: bytes.subarray(1 + length),
  };
}

function encodeKeyed(key, value) {
  const name = Buffer.from(key, 'utf8');
  return Buffer.concat([Buffer.from([name.length]), name, value]);
}

/** One partition: the records that are kept, and the newest record of each key. */
class Partition {
  records = [];
  first = 0;
  newest = new Map();

  constructor(isKeyed) {
    this.isKeyed = isKeyed;
  }

  get end() {
    return this.first + this.records.length;
  }

  append(batch) {
    const offset = this.end;
    for (const bytes of batch) {
      const at = this.end;
      this.records.push({bytes, writtenAt: performance.now()});
      if (this.isKeyed) {
        const {key, value} = decodeKeyed(bytes);
        if (value.length === 0) {
          this.newest.delete(key);
        } else {
          this.newest.set(key, {key, value, offset: at});
        }
      }
    }
    return offset;
  }

  expire(keepMilliseconds) {
    const oldest = performance.now() - keepMilliseconds;
    let count = 0;
    while (
      count < this.records.length &&
      this.records[count].writtenAt < oldest
    ) {
      count++;
    }
    this.records.splice(0, count);
    this.first += count;
  }
}

/** A stand-in of the platform's store: a log that keeps its records for `keepSeconds`. */
export class Store {
  topics = new Map();
  /** Whether the store is down: calls get 503, and nobody can write. */
  isDown = false;

  constructor(keepSeconds) {
    this.keepMilliseconds = 1_000 * keepSeconds;
    this.server = createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 60_000;
  }

  async listen() {
    await new Promise(resolve => this.server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Writes a key as the operator or an engine does; undefined drops it. */
  put(topic, key, value) {
    if (this.isDown) {
      return;
    }
    const bytes =
      value === undefined
        ? Buffer.alloc(0)
        : Buffer.from(JSON.stringify(value));
    this.partition(topic, 0).append([encodeKeyed(key, bytes)]);
  }

  partition(topic, part) {
    const name = `${topic}/${part}`;
    let partition = this.topics.get(name);
    if (partition === undefined) {
      partition = new Partition(topic.startsWith('keyed.'));
      this.topics.set(name, partition);
    }
    partition.expire(this.keepMilliseconds);
    return partition;
  }

  async serve(request, response) {
    const chunks = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    const url = new URL(request.url, 'http://store');
    const query = url.searchParams;
    const topic = query.get('topic') ?? '';
    const part = Number(query.get('part') ?? 0);
    await delay(ANSWER_MILLISECONDS);
    if (this.isDown) {
      sendJson(response, 503, {});
      return;
    }
    switch (url.pathname) {
      case '/-/log-append':
        this.append(topic, part, query, Buffer.concat(chunks), response);
        return;
      case '/-/log-read':
        await this.read(topic, part, query, response);
        return;
      case '/-/log-newest':
        this.listNewest(topic, part, query, response);
        return;
      default:
        sendJson(response, 404, {});
    }
  }

  append(topic, part, query, body, response) {
    if (topic === 'keyed.op' || topic === 'keyed.servers') {
      sendJson(response, 403, {});
      return;
    }
    const partition = this.partition(topic, part);
    const at = query.get('at');
    if (at !== null && Number(at) !== partition.end) {
      sendJson(response, 412, {end: partition.end});
      return;
    }
    const records = [];
    for (let from = 0; from + 4 <= body.length;) {
      const length = body.readUInt32BE(from);
      records.push(Buffer.from(body.subarray(from + 4, from + 4 + length)));
      from += 4 + length;
    }
    const offset = partition.append(records);
    sendJson(response, 200, {offset, end: partition.end});
  }

  async read(topic, part, query, response) {
    const from = Number(query.get('from') ?? 0);
    const maximumBytes = 1_024 * Number(query.get('max_kb') ?? 1_024);
    const until = performance.now() + Number(query.get('wait_ms') ?? 0);
    while (
      this.partition(topic, part).end <= from &&
      performance.now() < until &&
      !response.destroyed
    ) {
      await delay(POLL_MILLISECONDS);
    }
    const partition = this.partition(topic, part);
    if (from < partition.first) {
      sendJson(response, 410, {first: partition.first});
      return;
    }
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(partition.end), 0);
    head.writeBigUInt64BE(BigInt(partition.first), 8);
    const parts = [head];
    let bytes = 0;
    for (const record of partition.records.slice(from - partition.first)) {
      bytes += record.bytes.length;
      if (parts.length > 1 && bytes > maximumBytes) {
        break;
      }
      const length = Buffer.alloc(4);
      length.writeUInt32BE(record.bytes.length);
      parts.push(length, record.bytes);
    }
    response.end(Buffer.concat(parts));
  }

  listNewest(topic, part, query, response) {
    const partition = this.partition(topic, part);
    const after = query.get('after') ?? '';
    const all = [...partition.newest.values()]
      .filter(({key}) => key > after)
      .sort((one, other) => (one.key < other.key ? -1 : 1));
    const items = all.slice(0, MAXIMUM_ITEMS);
    sendJson(response, 200, {
      items: items.map(({key, value, offset}) => ({
        key,
        value: value.toString('base64'),
        offset,
      })),
      more: all.length > items.length,
      end: partition.end,
    });
  }
}

function sendJson(response, status, value) {
  response.writeHead(status, {'Content-Type': 'application/json'});
  response.end(JSON.stringify(value));
}
