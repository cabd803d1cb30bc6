import type {DescMessage, MessageShape} from '@bufbuild/protobuf';
import {setTimeout as delay} from 'node:timers/promises';
import {parseArgs} from 'node:util';

import {
  formatSettingsProblem,
  loadSettings,
  type SettingsProblem,
} from './settings-file.js';
import {settingsCheckOf} from './settings-rules.js';
import {
  SETTINGS_POLL_INTERVAL_MILLISECONDS,
  SettingsWatch,
} from './settings-watch.js';
import {StopSignal} from './stop-signal.js';

/** A started process that can be shut down gracefully. */
export interface RunningBinary<Settings = unknown> {
  /**
   * Completes the work in progress, returns the grants that the process holds, and
   * closes its connections.
   *
   * @param millisecondsSinceStop Time since the stop signal was received,
   *     milliseconds.
   */
  close(millisecondsSinceStop: number): Promise<void>;
  /**
   * Applies reloaded settings. Absent if the process keeps the settings that it was
   * started with.
   */
  reload?(settings: Settings): void;
}

/** Options of `runBinary`. */
export interface BinaryOptions {
  /** Environment variable with the settings path; used without `--settings`. */
  readonly settingsVariable?: string;
  /**
   * A stop signal that is already registered with the process. `runBinary` creates
   * one if absent.
   */
  readonly stopSignal?: StopSignal;
  /**
   * Ends what the process has accepted if its start does not complete in time after a
   * stop signal, or fails.
   */
  readonly abandonStart?: () => Promise<void>;
}

/** How long a start may continue after a stop signal before it is abandoned. */
const START_LIMIT_AFTER_STOP_MILLISECONDS = 4_000;
/** Longest time that `abandonStart` may take. */
const ABANDON_LIMIT_MILLISECONDS = 1_000;

/** Exit codes; those from 64 on follow sysexits.h. */
export enum ExitCode {
  Success = 0,
  /** A failure without a code of its own. */
  Failure = 1,
  /** A file to review can't be read. */
  Unreadable = 2,
  /** Another publication was accepted first. */
  Overtaken = 10,
  /** No process and no record contains the requested item. */
  NotFound = 11,
  /** Wrong arguments. */
  Usage = 64,
  /** The input is not valid. */
  InvalidInput = 65,
  /** The platform or a process is unreachable; the operation had no effect. */
  Unavailable = 69,
  /** The answer was lost; the operation may have taken effect. */
  OutcomeUnknown = 75,
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
 * Shuts a process down gracefully after a stop signal. A signal that arrives during
 * the start takes effect once the start has completed.
 *
 * @param abandonStart Called if the start does not complete within 4 s after the
 *     signal; see `BinaryOptions`.
 * @returns The exit code: `Failure` if the start takes longer than 4 s after the
 *     signal, or if closing fails.
 */
export async function stopOnSignal(
  signal: StopSignal,
  started: Promise<RunningBinary>,
  abandonStart: () => Promise<void> = () => Promise.resolve(),
): Promise<ExitCode> {
  await signal.received;
  let running: RunningBinary | undefined;
  try {
    running = await Promise.race([
      started,
      rejectAfterStartLimit(signal.millisecondsSinceReceived),
    ]);
    await running.close(signal.millisecondsSinceReceived);
    return ExitCode.Success;
  } catch (error) {
    process.stderr.write(`graceful shutdown failed: ${String(error)}\n`);
    if (running === undefined) {
      await Promise.race([abandonStart(), delay(ABANDON_LIMIT_MILLISECONDS)]);
    }
    return ExitCode.Failure;
  }
}

async function rejectAfterStartLimit(
  millisecondsSinceStop: number,
): Promise<never> {
  const limit = START_LIMIT_AFTER_STOP_MILLISECONDS - millisecondsSinceStop;
  await delay(Math.max(0, limit), undefined, {ref: false});
  throw new Error('the start did not complete within 4 s of the stop signal');
}

/** Passes changed settings to a process that has started. */
function watchSettings<Settings>(
  watch: SettingsWatch<Settings>,
  running: RunningBinary<Settings>,
): void {
  watch.start({
    reload: settings => {
      running.reload?.(settings);
    },
    reject: printProblems,
  });
  setInterval(() => {
    watch.poll();
  }, SETTINGS_POLL_INTERVAL_MILLISECONDS).unref();
}

function printProblems(problems: readonly SettingsProblem[]): void {
  for (const problem of problems) {
    process.stderr.write(`${formatSettingsProblem(problem)}\n`);
  }
}

/**
 * Runs a binary: reads the settings file named by `--settings FILE`, starts the
 * process, reloads the settings on SIGHUP or when the file changes, and shuts down
 * gracefully on SIGTERM or SIGINT. If the settings are not valid, prints every
 * problem and sets the exit code `Configuration`.
 *
 * @param schema Schema of the settings.
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
    watch.handleChange();
  });
  const started = start(settings.val);
  void stopOnSignal(stopSignal, started, options.abandonStart).then(code => {
    process.exit(code);
  });
  watchSettings(watch, await started);
}
