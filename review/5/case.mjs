import {fileURLToPath} from 'node:url';

import {newAttempt, send} from '../common/caller.mjs';
import {Engine, HEARTBEAT_MILLISECONDS, STRIDE} from '../common/engine.mjs';
import {Fleet, STABLE_MILLISECONDS} from '../common/fleet.mjs';
import {Record} from '../common/record.mjs';
import {Store} from '../common/store.mjs';
import {delay} from '../common/timing.mjs';

const KEY = 'key-of-school';
const GATEWAYS = 3;
const ENGINES = 7;
const REQUEST_MILLISECONDS = 12;
const LENGTH_MILLISECONDS = 20_000;
const DRAIN_MILLISECONDS = 2_000;
/** Answers of the store are lost: of 0.35 of the writes for 4.5 s. */
const LOST_SHARE = 0.35;
const LOST_AT_MILLISECONDS = 2_000;
const LOST_MILLISECONDS = 4_500;
/** The server's last check-in of that time is done so much later: 1 to 6 s. */
const LATE_MILLISECONDS = 5_700;
/** The server leaves after the store has been stable for 3 s. */
const LEAVES_AT_MILLISECONDS = 9_520;
/** `drain_ms` and a little longer; then it exits. */
const STAYS_MILLISECONDS = 3_550;
/** Streams that can't be resumed. */
const EVENTS = 20;
const EVENT_MILLISECONDS = 56;

const hasTrouble = process.env.TROUBLE !== '0';
const record = new Record(
  fileURLToPath(new URL('record.txt', import.meta.url)),
);
const store = new Store();
const fleet = new Fleet(store, record, GATEWAYS, {
  keepLogs: process.env.KEEP_LOGS === '1',
});
const engines = [];
/** Which gateway an attempt was sent to. */
const senders = new Map();
const arrivals = [];
const requests = {sent: 0, served: 0, cut: 0};
let leaving;
let leftAt = Infinity;

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
  store.close();
  record.write();
  console.log(record.lines.slice(-4).join('\n'));
}

async function run() {
  await store.listen();
  store.put('keyed.op', 'config', configuration());
  for (let count = 0; count < ENGINES; count++) {
    const engine = new Engine(
      store,
      {eventMilliseconds: EVENT_MILLISECONDS},
      runs,
    );
    engines.push(engine);
    await engine.start();
  }
  await fleet.start();
  await delay(STABLE_MILLISECONDS);
  record.startTraffic();
  leaving = engines[0];
  setTimeout(loseWrites, LOST_AT_MILLISECONDS);
  setTimeout(leave, LEAVES_AT_MILLISECONDS);
  const open = [];
  while (record.now < LENGTH_MILLISECONDS) {
    open.push(sendOne());
    await delay(REQUEST_MILLISECONDS);
  }
  await Promise.all(open);
}

/** The store loses answers; the last check-in of the server is done late. */
async function loseWrites() {
  if (!hasTrouble) {
    return;
  }
  record.add('store loses answers');
  store.lostShare = LOST_SHARE;
  await delay(LOST_MILLISECONDS - 100);
  leaving.seq++;
  const late = {...leaving.entry()};
  record.add('check-in without an answer', {server: leaving.id, seq: late.seq});
  setTimeout(() => {
    store.put('keyed.servers', leaving.id, late);
    record.add('that check-in is done', {state: late.state, seq: late.seq});
  }, LATE_MILLISECONDS);
  await delay(100);
  store.lostShare = 0;
  record.add('store is sound again');
}

/** The server reports that it leaves, checks in as such, and ends later. */
async function leave() {
  leaving.state = 'draining';
  clearInterval(leaving.heartbeat);
  leaving.register();
  leftAt = performance.now();
  record.add('server leaves', {server: leaving.id, seq: leaving.seq});
  leaving.heartbeat = setInterval(() => {
    leaving.register();
    record.add('server checks in', {state: leaving.state, seq: leaving.seq});
  }, HEARTBEAT_MILLISECONDS);
  await delay(STAYS_MILLISECONDS);
  leaving.stop();
  store.put('keyed.servers', leaving.id, undefined);
  record.add('server ends');
}

function runs({engine, attempt}) {
  const gateway = senders.get(attempt);
  const at = performance.now();
  const isInTouch = fleet.isInTouch(gateway, at);
  if (engine === leaving) {
    arrivals.push({at, isInTouch});
    record.add('runs at the server', {
      attempt,
      gateway: gateway.index,
      isInTouch,
      afterLeaving: Math.round(at - leftAt),
    });
  }
  return false;
}

async function sendOne() {
  const gateway = fleet.pick();
  const attempt = newAttempt();
  senders.set(attempt, gateway);
  requests.sent++;
  const answer = await send({
    port: gateway.ports[0],
    attempt,
    path: '/review/5',
    deadline: 3_000,
    body: JSON.stringify({attempt}),
    headers: {
      Authorization: `Token ${KEY}`,
      'X-Model': 'm',
      'X-Token-Count': `600,${EVENTS * STRIDE}`,
      'X-Prompt-Prefix': `${attempt.slice(-8)}:600`,
    },
  });
  if (answer.status === 200 && answer.isComplete) {
    requests.served++;
  } else if (answer.status === 200) {
    requests.cut++;
    record.add('stream cut', {attempt, gateway: gateway.index});
  }
}

function judge() {
  const late = arrivals.filter(
    ({at, isInTouch}) => isInTouch && at > leftAt + DRAIN_MILLISECONDS,
  );
  record.add('result', {...requests, lateAtTheServer: late.length});
  if (requests.served < requests.sent / 2) {
    return 2;
  }
  return late.length > 0 ? 1 : 0;
}

function configuration() {
  return {
    version: 1,
    routes: [
      {
        name: 'review',
        host: 'shop.example',
        path_prefix: '/review/',
        kind: 'streaming',
        timeout_ms: 8_000,
        goal_ms: 800,
        gap_goal_ms: 300,
        priority: 1,
        service: 'models',
        max_attempts: 1,
        public: false,
        resumable: false,
        sticky: true,
      },
    ],
    services: [{name: 'models', max_conns: 370, engine: {stride: STRIDE}}],
    limits: {
      max_body_bytes: 4_194_304,
      max_header_bytes: 16_384,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{name: 'school', api_keys: [KEY], prepaid: 50_000_000}],
  };
}
