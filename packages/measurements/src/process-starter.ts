import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

import {ManagedProcess} from './managed-process.js';

/** Entry files of the processes that the runner starts. */
export enum Binary {
  Router = 'router/lib/main.js',
  Keeper = 'keeper/lib/main.js',
  Platform = 'stand-ins/lib/platform-main.js',
  Engine = 'stand-ins/lib/engine-main.js',
  PlainService = 'stand-ins/lib/plain-service-main.js',
}

/** Settings as they are written into a file. */
export type SettingsJson = Readonly<Record<string, unknown>>;

function exitWithFailure(): void {
  process.exit(1);
}

/** Starts processes with settings files in a directory of their own. */
export class ProcessStarter {
  /** Holds the settings and all that the processes print. */
  readonly directory = mkdtempSync(join(tmpdir(), 'wisteriadeal-'));
  private readonly started: ManagedProcess[] = [];
  private count = 0;
  /** Whatever becomes of the runner, its processes end with it. */
  private readonly killAll = () => {
    for (const child of this.started) {
      child.killNow();
    }
  };

  constructor() {
    process.once('exit', this.killAll);
    for (const signal of ['SIGINT', 'SIGTERM'] as const) {
      process.once(signal, exitWithFailure);
    }
  }

  /** Starts a process and waits until it listens. */
  async start(
    binary: Binary,
    name: string,
    settings: SettingsJson,
  ): Promise<ManagedProcess> {
    const base = join(this.directory, `${this.count++}-${name}`);
    const settingsPath = `${base}.jsonc`;
    writeFileSync(settingsPath, JSON.stringify(settings, undefined, 2));
    const child = await ManagedProcess.start({
      name,
      script: fileURLToPath(new URL(`../../${binary}`, import.meta.url)),
      settingsPath,
      outputPath: `${base}.log`,
    });
    this.started.push(child);
    return child;
  }

  /** Every process started, running or not. */
  get processes(): readonly ManagedProcess[] {
    return this.started;
  }

  /** Kills what still runs. */
  async close(keepOutput: boolean): Promise<void> {
    const running = this.started.filter(child => child.running);
    await Promise.all(running.map(child => child.kill()));
    process.off('exit', this.killAll);
    for (const signal of ['SIGINT', 'SIGTERM'] as const) {
      process.off(signal, exitWithFailure);
    }
    if (!keepOutput) {
      rmSync(this.directory, {recursive: true, force: true});
    }
  }
}
