import type {DescMessage, MessageShape} from '@bufbuild/protobuf';
import {parseArgs} from 'node:util';

import {
  formatSettingsProblem,
  loadSettings,
  type SettingsProblem,
} from './settings-file.js';
import {settingsCheckOf} from './settings-rules.js';
import {SETTINGS_POLL_MILLISECONDS, SettingsWatch} from './settings-watch.js';
import {StopSignal} from './stop-signal.js';

/** A started process that can be stopped in good order. */
export interface RunningBinary<Settings = unknown> {
  /**
   * Finishes what runs, returns what it holds, and leaves.
   *
   * @param toldAgo How long ago the process was told to, milliseconds.
   */
  close(toldAgo: number): Promise<void>;
  /** Takes settings that were read again. Absent where a process keeps its own. */
  reload?(settings: Settings): void;
}

/** How a binary finds its settings. */
export interface BinaryOptions {
  /** Environment variable that names the file where `--settings` doesn't. */
  readonly settingsVariable?: string;
  /** Listens to the process already; one of its own where absent. */
  readonly stopSignal?: StopSignal;
}

/** A process that is told to stop while it starts may start for so long. */
const STOPPED_START_MILLISECONDS = 4_000;

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

/**
 * Stops a process in good order once it is told to, also where that was while it
 * started.
 *
 * @returns The code to exit with.
 */
export async function stopWhenTold(
  signal: StopSignal,
  started: Promise<RunningBinary>,
): Promise<ExitCode> {
  await signal.told;
  try {
    const running = await Promise.race([started, startOverdue()]);
    await running.close(signal.age);
    return ExitCode.Success;
  } catch (error) {
    process.stderr.write(`stop failed: ${String(error)}\n`);
    return ExitCode.Failure;
  }
}

function startOverdue(): Promise<never> {
  return new Promise((_resolve, reject) => {
    setTimeout(() => {
      reject(new Error('the start took too long'));
    }, STOPPED_START_MILLISECONDS).unref();
  });
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
  const stopSignal = options.stopSignal ?? new StopSignal(process);
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
  const started = start(settings.val);
  void stopWhenTold(stopSignal, started).then(code => {
    process.exit(code);
  });
  followSettings(watch, await started);
}
