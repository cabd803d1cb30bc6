import {spawn} from 'node:child_process';
import {
  createWriteStream,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {get} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

import {renderSettings} from '../../target/review/settings-template.mjs';
import {delay, waitUntil} from './timing.mjs';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const READY_MILLISECONDS = 1_000;
const READY_TIMEOUT_MILLISECONDS = 500;
const MISSES_OUT = 2;
/** A process that ends is started again after a short delay. */
const RESTART_MILLISECONDS = 500;
/** `stable_window_ms` of the small deployments. */
export const STABLE_MILLISECONDS = 3_000;

/** Gateways as the platform runs them, with its balancer's view of them. */
export class Fleet {
  gateways = [];

  constructor(
    store,
    record,
    count,
    {zones = ['a'], keepLogs = false, keepSeconds = 300} = {},
  ) {
    Object.assign(this, {store, record, count, zones, keepLogs, keepSeconds});
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    process.once('exit', () => {
      this.endProcesses();
    });
    for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) {
      process.once(signal, () => process.exit(2));
    }
  }

  async start() {
    for (let index = 0; index < this.count; index++) {
      this.gateways.push({
        index,
        ports: await freePorts(5),
        misses: MISSES_OUT,
        startedAt: Infinity,
        disturbedAt: -Infinity,
      });
    }
    for (const gateway of this.gateways) {
      this.launch(gateway);
    }
    this.poll = setInterval(() => this.askAll(), READY_MILLISECONDS);
    await waitUntil(
      () => this.gateways.every(gateway => this.isIn(gateway)),
      20_000,
      'gateways get ready',
    );
  }

  /** The address at which a gateway finds the store. */
  storeAddressOf() {
    return this.store.address;
  }

  /** Sends SIGKILL to gateways at once; each starts again after a short delay. */
  kill(gateways) {
    for (const gateway of gateways) {
      this.record.add('kill', {gateway: gateway.index});
      gateway.process.kill('SIGKILL');
    }
  }

  /** Takes the power from gateways; they start again after a time. */
  powerOff(gateways, milliseconds) {
    for (const gateway of gateways) {
      this.record.add('power off', {gateway: gateway.index});
      gateway.restartMilliseconds = milliseconds;
      gateway.process.kill('SIGKILL');
    }
  }

  /** Stops a gateway's process for a time, as a machine freezes and wakes. */
  async freeze(gateway, milliseconds) {
    this.record.add('freeze', {gateway: gateway.index});
    gateway.process.kill('SIGSTOP');
    gateway.disturbedAt = Infinity;
    await delay(milliseconds);
    gateway.process.kill('SIGCONT');
    gateway.disturbedAt = performance.now();
    this.record.add('wake', {gateway: gateway.index});
  }

  /** Whether the balancer gives the gateway new channels. */
  isIn(gateway) {
    return gateway.misses < MISSES_OUT;
  }

  /** A gateway for a new channel: one that is in, or any if few are. */
  pick(except) {
    const others = this.gateways.filter(gateway => gateway !== except);
    const up = others.filter(gateway => this.isIn(gateway));
    const choice = up.length * 2 >= this.gateways.length ? up : others;
    return choice[Math.floor(Math.random() * choice.length)];
  }

  /** Whether the process has run without any signal for the stable window. */
  isInTouch(gateway, at = performance.now()) {
    return (
      at - gateway.startedAt >= STABLE_MILLISECONDS &&
      at - gateway.disturbedAt >= STABLE_MILLISECONDS
    );
  }

  async close() {
    clearInterval(this.poll);
    this.endProcesses();
    await delay(200);
    if (!this.keepLogs) {
      rmSync(this.folder, {recursive: true, force: true});
    }
  }

  endProcesses() {
    this.isClosing = true;
    for (const gateway of this.gateways) {
      clearTimeout(gateway.restart);
      gateway.process?.kill('SIGKILL');
    }
  }

  launch(gateway) {
    const file = join(this.folder, `settings-${gateway.index}.jsonc`);
    writeFileSync(file, this.settingsOf(gateway));
    const [program, ...words] = deployedCommand();
    const {PATH, HOME, LANG} = process.env;
    const log = createWriteStream(join(this.folder, `log-${gateway.index}`), {
      flags: 'a',
    });
    const child = spawn(program, words, {
      cwd: ROOT,
      env: {PATH, HOME, LANG, WISTERIADEAL_CONFIG: file},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stdout.pipe(log);
    child.stderr.pipe(log);
    gateway.process = child;
    gateway.startedAt = performance.now();
    this.record.add('start', {gateway: gateway.index});
    child.once('exit', (code, signal) => {
      gateway.startedAt = Infinity;
      this.record.add('exit', {gateway: gateway.index, code, signal});
      if (!this.isClosing) {
        gateway.restart = setTimeout(
          () => this.launch(gateway),
          gateway.restartMilliseconds ?? RESTART_MILLISECONDS,
        );
      }
    });
  }

  settingsOf({index, ports}) {
    const [front, ready, status, peer] = ports;
    const template = readFileSync(
      join(ROOT, 'deploy/gateway-settings.jsonc'),
      'utf8',
    );
    const zone = this.zones[index % this.zones.length];
    const text = renderSettings(template, {
      node_name: `front-${zone}-${index}`,
      zone,
      region: 'r',
      ip: '127.0.0.1',
      zones: Object.fromEntries(this.zones.map(name => [name, 'r'])),
      listen: {front: `127.0.0.1:${front}`, ready: `127.0.0.1:${ready}`},
      port_range: [status, peer],
      limits: {link_mbps: 1000},
      bounds: {
        grace_s: 8,
        retry_budget_ratio: 0.2,
        budget_extra: 58,
        budget_window_s: 10,
        drain_ms: 2000,
        config_apply_ms: 2000,
      },
      platform: {address: this.storeAddressOf(index), keep_s: this.keepSeconds},
    });
    return text;
  }

  askAll() {
    for (const gateway of this.gateways) {
      isReady(gateway.ports[1]).then(ready => {
        gateway.misses = ready ? 0 : gateway.misses + 1;
      });
    }
  }
}

/** The command of the deploy file, in words. */
function deployedCommand() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

function isReady(port) {
  return new Promise(resolve => {
    const outgoing = get(
      {
        host: '127.0.0.1',
        port,
        path: '/-/ready',
        agent: false,
        timeout: READY_TIMEOUT_MILLISECONDS,
      },
      incoming => {
        incoming.resume();
        resolve(incoming.statusCode === 200);
      },
    );
    outgoing.on('timeout', () => outgoing.destroy());
    outgoing.on('error', () => resolve(false));
  });
}

async function freePorts(count) {
  const servers = await Promise.all(
    Array.from({length: count}, async () => {
      const server = createServer();
      await new Promise(resolve => server.listen(0, '127.0.0.1', resolve));
      return server;
    }),
  );
  const ports = servers.map(server => server.address().port);
  await Promise.all(
    servers.map(server => new Promise(resolve => server.close(resolve))),
  );
  return ports;
}
