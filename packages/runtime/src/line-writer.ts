import {write, writeSync} from 'node:fs';

/** What may wait for a reader; some seconds of a busy host's lines. */
const MOST_WAITING_BYTES = 262_144;
/** Lines are gathered so long, so that one call of the system writes many. */
const GATHER_MILLISECONDS = 20;
/** Room for some lines. */
const ROOM_BYTES = 8_192;

/** Writes bytes somewhere and says when it is done, as `fs.write` does. */
export type WriteBytes = (
  bytes: Buffer,
  done: (error: Error | null, written: number) => void,
) => void;

/** Writes bytes before it returns, as `fs.writeSync` does, and says how many. */
export type WriteBytesNow = (bytes: Buffer) => number;

/**
 * Writes lines without ever waiting for their reader. `process.stdout` writes to a
 * pipe synchronously: when nobody reads it, the first 64 KB fill the pipe and the
 * next line stops the process with all its requests. Here one write is under way at
 * a time, off the event loop, and what comes beyond a bound is dropped and counted.
 * Only whole lines are dropped: the rest of a line whose beginning was written is kept.
 */
export class LineWriter {
  private waiting: string[] = [];
  private waitingBytes = 0;
  /** What was taken from the waiting lines and is not written yet. */
  private batch: Buffer = Buffer.alloc(0);
  private isBatchBegun = false;
  private isUnderWay = false;
  /** Whether the batch begins in the middle of a line. */
  private isMidLine = false;
  private droppedLines = 0;
  private timer: NodeJS.Timeout | undefined;
  private retryTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly writeBytes: WriteBytes = writeStandardOutput,
    private readonly writeBytesNow: WriteBytesNow = writeStandardOutputNow,
  ) {}

  /** Lines that were dropped since the last call. */
  takeDropped(): number {
    const dropped = this.droppedLines;
    this.droppedLines = 0;
    return dropped;
  }

  /** Whether a few more lines would be taken. */
  get hasRoom(): boolean {
    return this.waitingBytes + ROOM_BYTES <= MOST_WAITING_BYTES;
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
    clearTimeout(this.retryTimer);
    if (this.isUnderWay) {
      return;
    }
    const bytes = this.takeWaiting();
    this.batch = Buffer.alloc(0);
    try {
      this.writeNow(bytes);
    } catch {
      // Nobody reads; there is nowhere left to say so.
    }
  }

  /** Each line by itself, which a pipe takes whole or not at all. */
  private writeNow(bytes: Buffer): void {
    let rest = bytes;
    let written = 1;
    while (rest.length > 0 && written > 0) {
      written = this.writeBytesNow(rest.subarray(0, firstLineBytes(rest)));
      rest = rest.subarray(written);
    }
  }

  private flush(): void {
    this.timer = undefined;
    if (this.isBatchBegun || this.waiting.length === 0) {
      return;
    }
    this.batch = this.takeWaiting();
    this.isBatchBegun = true;
    this.writeBatch();
  }

  private takeWaiting(): Buffer {
    const bytes = Buffer.concat([
      this.batch,
      Buffer.from(this.waiting.join('')),
    ]);
    this.waiting = [];
    return bytes;
  }

  private writeBatch(): void {
    this.isUnderWay = true;
    this.writeBytes(this.batch, (error, written) => {
      this.isUnderWay = false;
      this.wrote(written);
      if (error === null && this.batch.length > 0) {
        this.writeBatch();
      } else if (isPipeFull(error)) {
        this.retryTimer = setTimeout(() => {
          this.writeBatch();
        }, GATHER_MILLISECONDS).unref();
      } else {
        this.endBatch();
      }
    });
  }

  private wrote(bytes: number): void {
    if (bytes > 0) {
      this.isMidLine = this.batch[bytes - 1] !== LINE_END;
      this.batch = this.batch.subarray(bytes);
    }
  }

  /** Drops what an error left of the batch. */
  private endBatch(): void {
    const kept = this.isMidLine ? firstLineBytes(this.batch) : 0;
    this.droppedLines += countLines(this.batch.subarray(kept));
    this.batch = this.batch.subarray(0, kept);
    this.isBatchBegun = false;
    this.waitingBytes = this.waiting.reduce(
      (sum, line) => sum + Buffer.byteLength(line),
      this.batch.length,
    );
    this.flush();
  }
}

/** Whether the reader has not yet read what fills the pipe. */
function isPipeFull(error: Error | null): boolean {
  return error !== null && 'code' in error && error.code === 'EAGAIN';
}

function firstLineBytes(bytes: Buffer): number {
  return bytes.indexOf(LINE_END) + 1;
}

function countLines(bytes: Buffer): number {
  return bytes.filter(byte => byte === LINE_END).length;
}

const STANDARD_OUTPUT = 1;
const LINE_END = 0x0a;

function writeStandardOutput(
  bytes: Buffer,
  done: (error: Error | null, written: number) => void,
): void {
  write(STANDARD_OUTPUT, bytes, 0, bytes.length, null, done);
}

function writeStandardOutputNow(bytes: Buffer): number {
  return writeSync(STANDARD_OUTPUT, bytes);
}
