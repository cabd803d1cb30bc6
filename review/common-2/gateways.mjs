import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
  closeSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {get} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join, resolve} from 'node:path';

const ROOT = resolve(import.meta.dirname, '../..');
const READY_POLL_MILLISECONDS = 20;

export const delay = milliseconds =>
  new Promise(resolvePromise => setTimeout(resolvePromise, milliseconds));

/** Command and template of the gateway, as the deploy file names them. */
function deployment() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const run = /^run = "(.*)"$/m.exec(text)?.[1] ?? '';
  const template = /^template = "(.*)"$/m.exec(text)?.[1] ?? '';
  return {
    words: run.split(' '),
    template: readFileSync(join(ROOT, template), 'utf8'),
  };
}

/** Ports that are free now. */
async function freePorts(count) {
  const servers = Array.from({length: count}, () => createServer());
  const ports = [];
  for (const server of servers) {
    await new Promise(done => server.listen(0, '127.0.0.1', done));
    ports.push(server.address().port);
  }
  for (const server of servers) {
    await new Promise(done => server.close(done));
  }
  return ports;
}

/** A gateway in a process of its own, which the platform starts again after its end. */
export class GatewayProcess {
  constructor(name, zone, fields, folder, tools) {
    this.name = name;
    this.zone = zone;
    this.fields = fields;
    this.tools = tools;
    this.settingsFile = join(folder, `${name}.jsonc`);
    this.logFile = join(folder, `${name}.log`);
  }

  get port() {
    return Number(this.fields.listen.front.split(':')[1]);
  }

  get readyPort() {
    return Number(this.fields.listen.ready.split(':')[1]);
  }

  get isRunning() {
    return (
      this.child !== undefined &&
      this.child.exitCode === null &&
      this.child.signalCode === null
    );
  }

  /** Writes the settings file as the platform does. */
  writeSettings() {
    const {renderSettings, template} = this.tools;
    writeFileSync(this.settingsFile, renderSettings(template, this.fields));
  }

  /** Starts the process, with the settings in effect at that moment. */
  start() {
    this.writeSettings();
    const log = openSync(this.logFile, 'a');
    const [program, ...words] = this.tools.words;
    this.child = spawn(program === 'node' ? process.execPath : program, words, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH ?? '',
        HOME: process.env.HOME ?? '',
        WISTERIADEAL_CONFIG: this.settingsFile,
      },
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    this.startedAt = performance.now();
  }

  async whenReady() {
    while (!(await this.isReady())) {
      if (!this.isRunning) {
        throw new Error(
          `${this.name} ended: ${readFileSync(this.logFile, 'utf8').slice(-500)}`,
        );
      }
      await delay(READY_POLL_MILLISECONDS);
    }
    this.readyAt = performance.now();
  }

  signal(name) {
    this.child.kill(name);
  }

  async end(signal) {
    if (this.isRunning) {
      const ended = once(this.child, 'exit');
      this.child.kill(signal);
      await ended;
    }
  }

  /** Lines that the process has logged. */
  get log() {
    return readFileSync(this.logFile, 'utf8')
      .split('\n')
      .filter(line => line.startsWith('{'))
      .map(line => JSON.parse(line));
  }

  isReady() {
    return new Promise(done => {
      get(
        {
          host: '127.0.0.1',
          port: this.readyPort,
          path: '/-/ready',
          agent: false,
        },
        answer => {
          answer.resume();
          done(answer.statusCode === 200);
        },
      ).on('error', () => done(false));
    });
  }
}

/** Creates gateways of a small deployment; nothing is started yet. */
export class Deployment {
  gateways = [];
  folder = mkdtempSync(join(tmpdir(), 'review-2-'));

  static async create({
    count,
    zones,
    storeAddress,
    bounds = {},
    keepSeconds = 20,
  }) {
    const {renderSettings} = await import('../../target/review-2/settings.mjs');
    const tools = {...deployment(), renderSettings};
    const deployed = new Deployment();
    const ports = await freePorts(4 * count);
    for (let index = 0; index < count; index++) {
      const [front, ready, status, peer] = ports.splice(0, 4);
      const zone = zones[index % zones.length];
      const name = `front-${zone}-${index + 1}`;
      const fields = {
        node_name: name,
        zone,
        region: 'region',
        ip: '127.0.0.1',
        zones: Object.fromEntries(zones.map(each => [each, 'region'])),
        listen: {front: `127.0.0.1:${front}`, ready: `127.0.0.1:${ready}`},
        port_range: [status, peer],
        limits: {memory_mb: 350, max_fds: 4_100, link_mbps: 1_000},
        bounds: {
          grace_s: 8,
          retry_budget_ratio: 0.2,
          budget_extra: 56,
          budget_window_s: 10,
          drain_ms: 2_000,
          config_apply_ms: 2_000,
          ...bounds,
        },
        platform: {address: storeAddress, keep_s: keepSeconds},
      };
      deployed.gateways.push(
        new GatewayProcess(name, zone, fields, deployed.folder, tools),
      );
    }
    return deployed;
  }

  async start() {
    for (const gateway of this.gateways) {
      gateway.start();
    }
    await Promise.all(this.gateways.map(gateway => gateway.whenReady()));
  }

  async close() {
    await Promise.all(this.gateways.map(gateway => gateway.end('SIGKILL')));
    if (process.env.KEEP_LOGS === undefined) {
      rmSync(this.folder, {recursive: true, force: true});
    } else {
      console.log(`logs are in ${this.folder}`);
    }
  }
}
