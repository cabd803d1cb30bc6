import {write, writeSync} from 'node:fs';

/** What may wait for a reader; some seconds of a busy host's lines. */
const MOST_WAITING_BYTES = 262_144;
/** Lines are gathered so long, so that one call of the system writes many. */
const GATHER_MILLISECONDS = 20;

/** Writes bytes somewhere and says when it is done, as `fs.write` does. */
export type WriteBytes = (
  bytes: Buffer,
  done: (error: Error | null, written: number) => void,
) => void;

/**
 * Writes lines without ever waiting for their reader. `process.stdout` writes to a
 * pipe synchronously: when nobody reads it, the first 64 KB fill the pipe and the
 * next line stops the process with all its requests. Here one write is under way at
 * a time, off the event loop, and what comes beyond a bound is dropped and counted.
 */
export class LineWriter {
  private waiting: string[] = [];
  private waitingBytes = 0;
  private isWriting = false;
  private droppedLines = 0;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly writeBytes: WriteBytes = writeStandardOutput) {}

  /** Lines that were dropped since the last call. */
  takeDropped(): number {
    const dropped = this.droppedLines;
    this.droppedLines = 0;
    return dropped;
  }

  /** Takes a line with its line end. */
  push(line: string): void {
    const bytes = Buffer.byteLength(line);
    if (this.waitingBytes + bytes > MOST_WAITING_BYTES) {
      this.droppedLines++;
      return;
    }
    this.waiting.push(line);
    this.waitingBytes += bytes;
    this.timer ??= setTimeout(() => {
      this.flush();
    }, GATHER_MILLISECONDS);
    this.timer.unref();
  }

  /**
   * Writes what waits before the process ends. Where a write is under way nobody may
   * be reading: what waits is left, rather than wait for a reader at the end.
   */
  close(): void {
    clearTimeout(this.timer);
    if (this.isWriting || this.waiting.length === 0) {
      return;
    }
    try {
      writeSync(STANDARD_OUTPUT, this.waiting.join(''));
    } catch {
      // The reader has gone; there is nowhere left to say so.
    }
    this.waiting = [];
  }

  private flush(): void {
    this.timer = undefined;
    if (this.isWriting || this.waiting.length === 0) {
      return;
    }
    const bytes = Buffer.from(this.waiting.join(''));
    this.waiting = [];
    this.isWriting = true;
    this.writeAll(bytes);
  }

  private writeAll(bytes: Buffer): void {
    this.writeBytes(bytes, (error, written) => {
      const rest = bytes.subarray(written);
      if (error === null && rest.length > 0) {
        this.writeAll(rest);
        return;
      }
      this.isWriting = false;
      this.waitingBytes = this.waiting.reduce(
        (sum, line) => sum + Buffer.byteLength(line),
        0,
      );
      this.flush();
    });
  }
}

const STANDARD_OUTPUT = 1;

function writeStandardOutput(
  bytes: Buffer,
  done: (error: Error | null, written: number) => void,
): void {
  write(STANDARD_OUTPUT, bytes, 0, bytes.length, null, done);
}
