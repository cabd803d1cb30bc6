import {spawn, type ChildProcess} from 'node:child_process';
import {createWriteStream, type WriteStream} from 'node:fs';
import {createInterface} from 'node:readline';

/** A process that hasn't logged `listening` after this time has failed to start. */
const START_TIMEOUT_MILLISECONDS = 15_000;
/** A process that hasn't exited this long after SIGTERM is killed. */
const STOP_TIMEOUT_MILLISECONDS = 15_000;
/** Number of last output lines kept for the error of a failed start. */
const RETAINED_LINES = 20;

/** Start parameters of a process. */
export interface ProcessPlan {
  /** Name used in errors and for the log file. */
  readonly name: string;
  /** Path of the entry file. */
  readonly script: string;
  readonly settingsPath: string;
  /** File that receives the process's standard output and standard error. */
  readonly outputPath: string;
}

/** Fields of the log line with the event `listening`. */
export type ListeningFields = Readonly<Record<string, unknown>>;

function parseListening(line: string): ListeningFields | undefined {
  try {
    const fields = JSON.parse(line) as ListeningFields;
    return fields.event === 'listening' ? fields : undefined;
  } catch {
    return undefined;
  }
}

function delay(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds).unref());
}

/** A child process; signals go only to its own process identifier. */
export class ManagedProcess {
  /** Resolves when the process has exited. */
  readonly exited: Promise<void>;
  private hasExited = false;
  private listeningFields: ListeningFields = {};
  private readonly recentLines: string[] = [];
  private constructor(
    readonly name: string,
    private readonly child: ChildProcess,
    private readonly output: WriteStream,
  ) {
    this.exited = new Promise(resolve => {
      child.once('exit', () => {
        this.hasExited = true;
        output.end();
        resolve();
      });
    });
  }

  /**
   * Starts a process and waits for its `listening` log line.
   *
   * @throws Error with its last output lines, if it exits or doesn't log `listening`
   *     within 15 s.
   */
  static async start(plan: ProcessPlan): Promise<ManagedProcess> {
    const child = spawn(
      process.execPath,
      ['--enable-source-maps', plan.script, '--settings', plan.settingsPath],
      {stdio: ['ignore', 'pipe', 'pipe']},
    );
    const output = createWriteStream(plan.outputPath);
    const managed = new ManagedProcess(plan.name, child, output);
    const listening = managed.readOutput(child);
    const inTime = await Promise.race([
      listening.then(() => true),
      managed.exited.then(() => false),
      delay(START_TIMEOUT_MILLISECONDS).then(() => false),
    ]);
    if (!inTime) {
      child.kill('SIGKILL');
      const lines = managed.recentLines.join('\n');
      throw new Error(
        `${plan.name} exited or exceeded the start time limit before it logged "listening":\n${lines}`,
      );
    }
    return managed;
  }

  /** Process identifier. */
  get pid(): number {
    return this.child.pid ?? 0;
  }

  /** True until the process has exited. */
  get running(): boolean {
    return !this.hasExited;
  }

  /** Returns an address field of the `listening` log line. */
  address(field: string): string {
    return String(this.listeningFields[field]);
  }

  /**
   * Kills the process with SIGKILL, without a graceful shutdown, and waits until it has
   * exited.
   */
  async kill(): Promise<void> {
    this.killNow();
    await this.exited;
  }

  /** As `kill`, without waiting; for the exit handler of the runner. */
  killNow(): void {
    this.child.kill('SIGKILL');
  }

  /** Suspends the process with SIGSTOP; its connections stay open. */
  pause(): void {
    this.child.kill('SIGSTOP');
  }

  /** Resumes the process with SIGCONT. */
  resume(): void {
    this.child.kill('SIGCONT');
  }

  /**
   * Stops the process with SIGTERM, and with SIGKILL if it hasn't exited in time. A
   * suspended process is resumed first.
   *
   * @returns True if it exited without SIGKILL.
   */
  async stop(limitMilliseconds = STOP_TIMEOUT_MILLISECONDS): Promise<boolean> {
    this.child.kill('SIGCONT');
    this.child.kill('SIGTERM');
    const inTime = await Promise.race([
      this.exited.then(() => true),
      delay(limitMilliseconds).then(() => false),
    ]);
    if (!inTime) {
      await this.kill();
    }
    return inTime;
  }

  private readOutput(child: ChildProcess): Promise<void> {
    return new Promise(resolve => {
      for (const stream of [child.stdout, child.stderr]) {
        if (stream === null) {
          continue;
        }
        createInterface({input: stream}).on('line', line => {
          this.recordLine(line);
          const fields = parseListening(line);
          if (fields !== undefined) {
            this.listeningFields = fields;
            resolve();
          }
        });
      }
    });
  }

  private recordLine(line: string): void {
    if (!this.hasExited) {
      this.output.write(`${line}\n`);
    }
    this.recentLines.push(line);
    this.recentLines.splice(0, this.recentLines.length - RETAINED_LINES);
  }
}
