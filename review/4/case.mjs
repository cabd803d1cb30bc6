import {fileURLToPath} from 'node:url';

import {eventsOf, newAttempt, send} from '../common/caller.mjs';
import {Engine, STRIDE} from '../common/engine.mjs';
import {Fleet} from '../common/fleet.mjs';
import {Record} from '../common/record.mjs';
import {Store} from '../common/store.mjs';
import {delay} from '../common/timing.mjs';

const KEY = 'key-of-school';
const GATEWAYS = 4;
const ENGINES = 4;
const EVENTS = 52;
const EVENT_MILLISECONDS = 56;
const REQUEST_MILLISECONDS = 16;
const LENGTH_MILLISECONDS = 24_000;
/** "Traffic starts 12 s after the machines do." */
const LEAD_MILLISECONDS = 12_000;
const KILL_MILLISECONDS = 3_000;
/** A kill that streams survive, for comparison. */
const LATER_KILL_MILLISECONDS = 15_000;
/** The rule: of so many streams that are taken up, half of the share of new ones. */
const MINIMUM_TAKEN_UP = 12;
const MINIMUM_SHARE = 0.5;

/** `TROUBLE=0` kills nothing; `TROUBLE=later` kills the gateway 12 s later. */
const {TROUBLE} = process.env;
const record = new Record(
  fileURLToPath(new URL('record.txt', import.meta.url)),
);
const store = new Store();
const fleet = new Fleet(store, record, GATEWAYS, {
  keepLogs: process.env.KEEP_LOGS === '1',
});
const engines = [];
const streams = [];
const takeUps = [];

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
  const startedAt = performance.now();
  await fleet.start();
  await delay(startedAt + LEAD_MILLISECONDS - performance.now());
  record.startTraffic();
  setTimeout(
    () => {
      if (TROUBLE !== '0') {
        fleet.kill(fleet.gateways.slice(0, 1));
      }
    },
    TROUBLE === 'later' ? LATER_KILL_MILLISECONDS : KILL_MILLISECONDS,
  );
  const open = [];
  while (record.now < LENGTH_MILLISECONDS) {
    open.push(stream());
    await delay(REQUEST_MILLISECONDS);
  }
  await Promise.all(open);
}

function runs({engine, attempt, headers}) {
  record.add('runs', {
    attempt,
    server: engine.id,
    version: engine.version,
    after: headers['last-event-id'],
  });
  return false;
}

/** One stream of a requester, which takes it up once if it breaks off. */
async function stream() {
  const first = newAttempt();
  const gateway = fleet.pick();
  const result = {first, last: 0, began: false};
  result.isInTouch = fleet.isInTouch(gateway);
  streams.push(result);
  const answer = await sendTo(gateway, first, result);
  result.last = eventsOf(answer.text).at(-1)?.id ?? 0;
  result.began = result.last > 0;
  add(answer, {first, gateway, last: result.last});
  if (!answer.isComplete && result.began) {
    await takeUp(result, gateway);
  }
}

async function takeUp(result, before) {
  const gateway = fleet.pick(before);
  const isInTouch = fleet.isInTouch(gateway);
  const {first, last} = result;
  const answer = await sendTo(gateway, newAttempt(), result);
  const goesOn = eventsOf(answer.text).at(0)?.id === last + 1;
  takeUps.push({isInTouch, goesOn});
  add(answer, {first, gateway, isInTouch, from: last, goesOn});
}

function add({status, isComplete, headers}, {gateway, ...fields}) {
  record.add('answered', {
    gateway: gateway.index,
    status,
    isComplete,
    retryAfter: headers['retry-after'],
    ...fields,
  });
}

function sendTo(gateway, attempt, {first, last}) {
  return send({
    port: gateway.ports[0],
    attempt,
    path: '/review/4',
    deadline: 8_000,
    body: JSON.stringify({stream: first}),
    headers: {
      Authorization: `Token ${KEY}`,
      'X-Model': 'm',
      'X-Token-Count': `600,${EVENTS * STRIDE}`,
      'X-Prompt-Prefix': `5c1e07a2:500,${first.slice(-8)}:100`,
      ...(last > 0 ? {'Last-Event-Id': String(last), Resumes: first} : {}),
    },
  });
}

function judge() {
  const newStreams = streams.filter(({isInTouch}) => isInTouch);
  const began = newStreams.filter(stream => stream.began).length;
  const inTouch = takeUps.filter(({isInTouch}) => isInTouch);
  const wentOn = inTouch.filter(({goesOn}) => goesOn).length;
  const shareOfNew = began / newStreams.length;
  const share = inTouch.length === 0 ? 1 : wentOn / inTouch.length;
  record.add('result', {
    newStreams: newStreams.length,
    began,
    takenUp: inTouch.length,
    wentOn,
    takenUpElsewhere: takeUps.length - inTouch.length,
  });
  if (shareOfNew < MINIMUM_SHARE) {
    return 2;
  }
  return inTouch.length >= MINIMUM_TAKEN_UP &&
    share < MINIMUM_SHARE * shareOfNew
    ? 1
    : 0;
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
        goal_ms: 300,
        gap_goal_ms: 300,
        priority: 1,
        service: 'models',
        max_attempts: 2,
        public: false,
        resumable: true,
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
