import {createServer} from 'node:http';
import {fileURLToPath} from 'node:url';

import {newAttempt, send} from '../common/caller.mjs';
import {HEARTBEAT_MILLISECONDS} from '../common/engine.mjs';
import {Fleet, STABLE_MILLISECONDS} from '../common/fleet.mjs';
import {HostPaths} from '../common/paths.mjs';
import {Record} from '../common/record.mjs';
import {Store} from '../common/store.mjs';
import {delay} from '../common/timing.mjs';

const KEY = 'key-of-school';
/** Zone a has the first four gateways, zone b the others. */
const ZONES = ['a', 'a', 'a', 'a', 'b', 'b'];
const CUT_ZONE = 'a';
const ENGINES = 4;
const SLOTS = 2;
const WAITING = 1;
const WORK_MILLISECONDS = 85;
/** The engine wants nothing from the machine for so long. */
const RETRY_AFTER_SECONDS = 2;
const REQUESTS_PER_SECOND = 60;
const BURST_FACTOR = 1.7;
const BURSTS_MILLISECONDS = [7_000, 13_000, 19_000];
const BURST_MILLISECONDS = 3_000;
const CUT_MILLISECONDS = 3_000;
const LENGTH_MILLISECONDS = 24_000;
/** The rule: not more than two requests from half a second after the answer on. */
const GRACE_MILLISECONDS = 500;
const MAXIMUM_REQUESTS = 2;

const hasTrouble = process.env.TROUBLE !== '0';
const record = new Record(
  fileURLToPath(new URL('record.txt', import.meta.url)),
);
const store = new Store();
const paths = new HostPaths(store);
const fleet = new Fleet(store, record, ZONES.length, {
  zones: ZONES,
  keepLogs: process.env.KEEP_LOGS === '1',
});
const engines = [];
/** Which gateway an attempt was sent to. */
const senders = new Map();
const breaches = [];
const tally = {};

/** A server that turns requests away when it is full, and asks for rest then. */
class BusyEngine {
  running = 0;
  waiting = [];
  turnedAway = [];

  constructor(index) {
    this.id = `i-${process.pid.toString(16)}-${index}`;
    this.born = Date.now();
    this.seq = 0;
  }

  async start() {
    this.server = createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 15_000;
    await new Promise(resolve => this.server.listen(0, '127.0.0.1', resolve));
    this.register();
    this.heartbeat = setInterval(() => {
      this.register();
    }, HEARTBEAT_MILLISECONDS);
  }

  register() {
    store.put('keyed.servers', this.id, {
      service: 'registry',
      address: `127.0.0.1:${this.server.address().port}`,
      zone: 'a',
      version: 'v1',
      slots: SLOTS,
      state: 'ready',
      cold_remaining_ms: 0,
      seq: ++this.seq,
      born: this.born,
    });
  }

  stop() {
    clearInterval(this.heartbeat);
    this.server.closeAllConnections();
    this.server.close();
  }

  async serve(request, response) {
    request.resume();
    const attempt = request.headers['x-attempt-id'];
    const machine = paths.machineOf(request.socket);
    this.arrived(attempt, machine);
    if (this.running >= SLOTS && this.waiting.length >= WAITING) {
      this.turnedAway.push({at: performance.now(), machine, requests: 0});
      record.add('turned away', {attempt, server: this.id, machine});
      response.writeHead(503, {
        'X-Attempt-Id': attempt,
        'X-Not-Executed': '1',
        'Retry-After': String(RETRY_AFTER_SECONDS),
      });
      response.end();
      return;
    }
    await this.run();
    response.writeHead(200, {
      'X-Attempt-Id': attempt,
      'X-Server-Seal': `${this.id}.${attempt}`,
      'Content-Length': '11',
    });
    response.end('{"done":1}\n');
  }

  /** Counts the request for the machine's answers 503 that still ask for rest. */
  arrived(attempt, machine) {
    const now = performance.now();
    record.add('arrives', {
      attempt,
      server: this.id,
      machine,
      gateway: senders.get(attempt)?.index,
    });
    const asked = this.turnedAway.filter(
      answer =>
        answer.machine === machine &&
        now > answer.at + GRACE_MILLISECONDS &&
        now < answer.at + 1_000 * RETRY_AFTER_SECONDS,
    );
    for (const answer of asked) {
      answer.requests++;
      if (answer.requests === MAXIMUM_REQUESTS + 1) {
        breaches.push(answer);
        record.add('too many requests', {
          server: this.id,
          machine,
          afterAnswer: Math.round(now - answer.at),
        });
      }
    }
  }

  async run() {
    if (this.running >= SLOTS) {
      await new Promise(resolve => this.waiting.push(resolve));
    }
    this.running++;
    await delay(WORK_MILLISECONDS);
    this.running--;
    this.waiting.shift()?.();
  }
}

try {
  await run();
  process.exitCode = judge();
} catch (error) {
  record.add('could not run', {reason: error.stack});
  process.exitCode = 2;
} finally {
  await fleet.close();
  for (const engine of engines) {
    engine.stop();
  }
  paths.close();
  store.close();
  record.write();
  console.log(record.lines.slice(-8).join('\n'));
}

async function run() {
  await store.listen();
  store.put('keyed.op', 'config', configuration());
  const addresses = [];
  for (let count = 0; count < ZONES.length; count++) {
    addresses.push(await paths.add());
  }
  fleet.storeAddressOf = index => addresses[index];
  for (let count = 0; count < ENGINES; count++) {
    const engine = new BusyEngine(count);
    engines.push(engine);
    await engine.start();
  }
  await fleet.start();
  await delay(STABLE_MILLISECONDS);
  record.startTraffic();
  setTimeout(cutZone, CUT_MILLISECONDS);
  const open = [];
  while (record.now < LENGTH_MILLISECONDS) {
    open.push(sendOne());
    const rate = REQUESTS_PER_SECOND * (isBurst() ? BURST_FACTOR : 1);
    await delay((1_000 / rate) * (0.5 + Math.random()));
  }
  await Promise.all(open);
}

function cutZone() {
  if (!hasTrouble) {
    return;
  }
  ZONES.forEach((zone, index) => {
    if (zone === CUT_ZONE) {
      record.add('partitioned from all servers', {gateway: index});
      paths.cut(index);
    }
  });
}

function isBurst() {
  return BURSTS_MILLISECONDS.some(
    at => record.now >= at && record.now < at + BURST_MILLISECONDS,
  );
}

async function sendOne() {
  const gateway = fleet.pick();
  const attempt = newAttempt();
  senders.set(attempt, gateway);
  const {status} = await send({
    port: gateway.ports[0],
    attempt,
    path: '/review/5',
    deadline: 1_500,
    headers: {Authorization: `Token ${KEY}`},
  });
  tally[status] = (tally[status] ?? 0) + 1;
  record.add('answered', {attempt, gateway: gateway.index, status});
}

/** Only machines that were not cut count; none was restarted or frozen. */
function judge() {
  const counted = breaches.filter(
    ({machine}) => !hasTrouble || ZONES[machine] !== CUT_ZONE,
  );
  record.add('result', {
    answers: JSON.stringify(tally),
    turnedAway: engines.reduce(
      (sum, {turnedAway}) => sum + turnedAway.length,
      0,
    ),
    breaches: counted.length,
  });
  if ((tally[200] ?? 0) === 0) {
    return 2;
  }
  return counted.length > 0 ? 1 : 0;
}

function configuration() {
  return {
    version: 1,
    routes: [
      {
        name: 'review',
        host: 'shop.example',
        path_prefix: '/review/',
        kind: 'unsafe',
        timeout_ms: 800,
        goal_ms: 150,
        priority: 2,
        service: 'registry',
        max_attempts: 1,
        public: false,
      },
    ],
    services: [{name: 'registry', max_conns: 110}],
    limits: {
      max_body_bytes: 4_194_304,
      max_header_bytes: 16_384,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{name: 'school', api_keys: [KEY], prepaid: 1_000_000}],
  };
}
