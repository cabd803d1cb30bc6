import {spawn, type ChildProcess} from 'node:child_process';
import {createWriteStream, type WriteStream} from 'node:fs';
import {createInterface} from 'node:readline';

/** A process that has not said `listening` by then is taken to be broken. */
const START_LIMIT_MILLISECONDS = 15_000;
/** A process that has not stopped by then is killed. */
const STOP_LIMIT_MILLISECONDS = 15_000;
/** Last lines kept for the error of a process that ends early. */
const LINES_KEPT = 20;

/** What to start. */
export interface ProcessPlan {
  /** Name for errors and for the log file. */
  readonly name: string;
  /** Path of the entry file. */
  readonly script: string;
  readonly settingsPath: string;
  /** Gets all that the process prints. */
  readonly outputPath: string;
}

/** Fields of the line `listening`. */
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

/** One started process, ended by its own identifier only. */
export class ManagedProcess {
  /** Resolves when the process has ended. */
  readonly exited: Promise<void>;
  private ended = false;
  private listeningFields: ListeningFields = {};
  private readonly lines: string[] = [];
  private constructor(
    readonly name: string,
    private readonly child: ChildProcess,
    private readonly output: WriteStream,
  ) {
    this.exited = new Promise(resolve => {
      child.once('exit', () => {
        this.ended = true;
        output.end();
        resolve();
      });
    });
  }

  /**
   * Starts a process and waits for its line `listening`.
   *
   * @throws Error with its last lines where it ends or says nothing in time.
   */
  static async start(plan: ProcessPlan): Promise<ManagedProcess> {
    const child = spawn(
      process.execPath,
      ['--enable-source-maps', plan.script, '--settings', plan.settingsPath],
      {stdio: ['ignore', 'pipe', 'pipe']},
    );
    const output = createWriteStream(plan.outputPath);
    const started = new ManagedProcess(plan.name, child, output);
    const listening = started.readOutput(child);
    const inTime = await Promise.race([
      listening.then(() => true),
      started.exited.then(() => false),
      delay(START_LIMIT_MILLISECONDS).then(() => false),
    ]);
    if (!inTime) {
      child.kill('SIGKILL');
      const lines = started.lines.join('\n');
      throw new Error(`${plan.name} did not start to listen:\n${lines}`);
    }
    return started;
  }

  /** Process identifier. */
  get pid(): number {
    return this.child.pid ?? 0;
  }

  /** True until the process has ended. */
  get running(): boolean {
    return !this.ended;
  }

  /** A field of the line `listening`. */
  address(field: string): string {
    return String(this.listeningFields[field]);
  }

  /** SIGKILL: the process gets no chance to end in order. */
  async kill(): Promise<void> {
    this.killNow();
    await this.exited;
  }

  /** As `kill`, without waiting; for the runner's own end. */
  killNow(): void {
    this.child.kill('SIGKILL');
  }

  /** SIGSTOP: the process stands still, its connections stay open. */
  pause(): void {
    this.child.kill('SIGSTOP');
  }

  /** SIGCONT: it goes on, unaware of the pause. */
  resume(): void {
    this.child.kill('SIGCONT');
  }

  /**
   * SIGTERM, and SIGKILL where that is not heeded in time.
   *
   * @returns True where it stopped by itself.
   */
  async stop(limitMilliseconds = STOP_LIMIT_MILLISECONDS): Promise<boolean> {
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
          this.keepLine(line);
          const fields = parseListening(line);
          if (fields !== undefined) {
            this.listeningFields = fields;
            resolve();
          }
        });
      }
    });
  }

  private keepLine(line: string): void {
    if (!this.ended) {
      this.output.write(`${line}\n`);
    }
    this.lines.push(line);
    this.lines.splice(0, this.lines.length - LINES_KEPT);
  }
}
