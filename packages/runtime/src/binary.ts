import type {DescMessage, MessageShape} from '@bufbuild/protobuf';
import {parseArgs} from 'node:util';

import {
  formatSettingsProblem,
  loadSettings,
  type SettingsProblem,
} from './settings-file.js';
import {settingsCheckOf} from './settings-rules.js';
import {SETTINGS_POLL_MILLISECONDS, SettingsWatch} from './settings-watch.js';

/** A started process that can be stopped in good order. */
export interface RunningBinary<Settings = unknown> {
  /** Finishes what runs, returns what it holds, and leaves. */
  close(): Promise<void>;
  /** Takes settings that were read again. Absent where a process keeps its own. */
  reload?(settings: Settings): void;
}

/** How a binary finds its settings. */
export interface BinaryOptions {
  /** Environment variable that names the file where `--settings` doesn't. */
  readonly settingsVariable?: string;
}

/** Exit codes; from 64 on those of sysexits. */
export enum ExitCode {
  Success = 0,
  /** Something that has no code of its own. */
  Failure = 1,
  /** Another publication came first. */
  Overtaken = 10,
  /** No process and no record knows of what was asked for. */
  NotFound = 11,
  /** Wrong arguments. */
  Usage = 64,
  /** What was handed in is not valid. */
  InvalidInput = 65,
  /** The platform or a process can't be reached; nothing was done. */
  Unavailable = 69,
  /** An answer was lost: it may have been done. */
  Unknown = 75,
  /** The settings are not valid. */
  Configuration = 78,
}

function settingsPath(options: BinaryOptions): string | undefined {
  const {values} = parseArgs({
    options: {settings: {type: 'string'}},
    allowPositionals: false,
  });
  const {settingsVariable} = options;
  return (
    values.settings ??
    (settingsVariable === undefined ? undefined : process.env[settingsVariable])
  );
}

function stopOnSignal(running: RunningBinary): void {
  let stopping = false;
  const stop = () => {
    if (stopping) {
      return;
    }
    stopping = true;
    running.close().then(
      () => {
        process.exit(ExitCode.Success);
      },
      (error: unknown) => {
        process.stderr.write(`stop failed: ${String(error)}\n`);
        process.exit(ExitCode.Failure);
      },
    );
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
}

/** Begins to hand changed settings to a process that has started. */
function followSettings<Settings>(
  watch: SettingsWatch<Settings>,
  running: RunningBinary<Settings>,
): void {
  watch.begin({
    reload: settings => {
      running.reload?.(settings);
    },
    reject: printProblems,
  });
  setInterval(() => {
    watch.poll();
  }, SETTINGS_POLL_MILLISECONDS).unref();
}

function printProblems(problems: readonly SettingsProblem[]): void {
  for (const problem of problems) {
    process.stderr.write(`${formatSettingsProblem(problem)}\n`);
  }
}

/**
 * Runs a binary: reads `--settings FILE`, starts, and on SIGTERM or SIGINT stops
 * in good order. Settings that don't fit end it with every problem printed.
 *
 * @param schema Schema of its settings.
 * @param start Starts the process.
 * @example
 * ```ts
 * await runBinary(RouterSettingsSchema, startRouter);
 * ```
 */
export async function runBinary<Schema extends DescMessage>(
  schema: Schema,
  start: (
    settings: MessageShape<Schema>,
  ) => Promise<RunningBinary<MessageShape<Schema>>>,
  options: BinaryOptions = {},
): Promise<void> {
  const path = settingsPath(options);
  if (path === undefined) {
    process.stderr.write('usage: --settings FILE\n');
    process.exitCode = ExitCode.Usage;
    return;
  }
  const load = () => loadSettings(schema, path, settingsCheckOf(schema));
  const settings = load();
  if (settings.err) {
    printProblems(settings.val);
    process.exitCode = ExitCode.Configuration;
    return;
  }
  const watch = new SettingsWatch(path, load);
  process.on('SIGHUP', () => {
    watch.signalled();
  });
  const running = await start(settings.val);
  stopOnSignal(running);
  followSettings(watch, running);
}
