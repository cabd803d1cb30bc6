import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

import {ManagedProcess} from './managed-process.js';

/** Entry scripts of the processes that the runner starts. */
export enum EntryScript {
  Router = 'router/lib/main.js',
  Keeper = 'keeper/lib/main.js',
  Platform = 'stand-ins/lib/platform-main.js',
  Engine = 'stand-ins/lib/engine-main.js',
  PlainService = 'stand-ins/lib/plain-service-main.js',
}

/** Settings of a process, written to a file as JSON. */
export type SettingsJson = Readonly<Record<string, unknown>>;

function exitWithFailure(): void {
  process.exit(1);
}

/** Starts processes whose settings and output files are in a temporary directory. */
export class ProcessStarter {
  /** Directory of the settings and output files. */
  readonly directory = mkdtempSync(join(tmpdir(), 'wisteriadeal-'));
  private readonly started: ManagedProcess[] = [];
  private count = 0;
  /** Exit handler: kills the processes however the runner exits, except by SIGKILL. */
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

  /**
   * Starts a process and waits until it listens.
   *
   * @throws Error if it doesn't start to listen in time.
   */
  async start(
    script: EntryScript,
    name: string,
    settings: SettingsJson,
  ): Promise<ManagedProcess> {
    const base = join(this.directory, `${this.count++}-${name}`);
    const settingsPath = `${base}.jsonc`;
    writeFileSync(settingsPath, JSON.stringify(settings, undefined, 2));
    const child = await ManagedProcess.start({
      name,
      script: fileURLToPath(new URL(`../../${script}`, import.meta.url)),
      settingsPath,
      outputPath: `${base}.log`,
    });
    this.started.push(child);
    return child;
  }

  /** All processes started so far, including those that have exited. */
  get processes(): readonly ManagedProcess[] {
    return this.started;
  }

  /**
   * Kills the processes that are still running.
   *
   * @param keepOutput Keeps the directory of settings and output files.
   */
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
