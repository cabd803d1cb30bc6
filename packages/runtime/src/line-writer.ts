import {write, writeSync} from 'node:fs';

/** Maximum size of the buffered lines; holds several seconds of a busy host's log. */
const MAXIMUM_BUFFERED_BYTES = 262_144;
/** Delay before buffered lines are written, so that one system call writes many. */
const BATCH_DELAY_MILLISECONDS = 20;
/** Free buffer space at which `hasRoom` is true; enough for a few lines. */
const HEADROOM_BYTES = 8_192;

/** Writes bytes and calls back with the number written, as `fs.write` does. */
export type WriteBytes = (
  bytes: Buffer,
  done: (error: Error | null, written: number) => void,
) => void;

/** Writes bytes synchronously, as `fs.writeSync` does; returns the number written. */
export type WriteBytesSync = (bytes: Buffer) => number;

/**
 * Writes lines to standard output without blocking on the reader. `process.stdout`
 * writes to pipes synchronously: if the pipe is not read, the first 64 KB fill it and
 * the next line blocks the process with all its requests. This class runs one
 * asynchronous write at a time and buffers up to 256 KiB; further lines are dropped and
 * counted. Only whole lines are dropped: the rest of a partially written line is kept.
 */
export class LineWriter {
  private bufferedLines: string[] = [];
  private bufferedBytes = 0;
  /** Bytes taken from the buffered lines that are not written yet. */
  private batch: Buffer = Buffer.alloc(0);
  private isBatchActive = false;
  private isWriting = false;
  /** Whether the last write ended in the middle of a line. */
  private isMidLine = false;
  private droppedLines = 0;
  private timer: NodeJS.Timeout | undefined;
  private retryTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly writeBytes: WriteBytes = writeStandardOutput,
    private readonly writeBytesSync: WriteBytesSync = writeStandardOutputSync,
  ) {}

  /** Returns the number of lines dropped since the last call. */
  consumeDroppedCount(): number {
    const dropped = this.droppedLines;
    this.droppedLines = 0;
    return dropped;
  }

  /** Whether there is room for a few more lines. */
  get hasRoom(): boolean {
    return this.bufferedBytes + HEADROOM_BYTES <= MAXIMUM_BUFFERED_BYTES;
  }

  /** Buffers a line, including its line feed, or drops it if the buffer is full. */
  push(line: string): void {
    const bytes = Buffer.byteLength(line);
    if (this.bufferedBytes + bytes > MAXIMUM_BUFFERED_BYTES) {
      this.droppedLines++;
      return;
    }
    this.bufferedLines.push(line);
    this.bufferedBytes += bytes;
    this.timer ??= setTimeout(() => {
      this.flush();
    }, BATCH_DELAY_MILLISECONDS);
    this.timer.unref();
  }

  /**
   * Writes the buffered lines synchronously before the process ends. If a write is in
   * progress, the pipe may not be read at all: the buffered lines are left unwritten, so
   * that the process does not block at its end.
   */
  close(): void {
    clearTimeout(this.timer);
    clearTimeout(this.retryTimer);
    if (this.isWriting) {
      return;
    }
    const bytes = this.drainBuffer();
    this.batch = Buffer.alloc(0);
    try {
      this.writeLinesSync(bytes);
    } catch {
      // The output can't be written, and there is no other place to report that.
    }
  }

  /** Writes line by line, as a pipe accepts a short write whole or not at all. */
  private writeLinesSync(bytes: Buffer): void {
    let rest = bytes;
    let written = 1;
    while (rest.length > 0 && written > 0) {
      written = this.writeBytesSync(rest.subarray(0, firstLineBytes(rest)));
      rest = rest.subarray(written);
    }
  }

  private flush(): void {
    this.timer = undefined;
    if (this.isBatchActive || this.bufferedLines.length === 0) {
      return;
    }
    this.batch = this.drainBuffer();
    this.isBatchActive = true;
    this.writeBatch();
  }

  private drainBuffer(): Buffer {
    const bytes = Buffer.concat([
      this.batch,
      Buffer.from(this.bufferedLines.join('')),
    ]);
    this.bufferedLines = [];
    return bytes;
  }

  private writeBatch(): void {
    this.isWriting = true;
    this.writeBytes(this.batch, (error, written) => {
      this.isWriting = false;
      this.removeWritten(written);
      if (error === null && this.batch.length > 0) {
        this.writeBatch();
      } else if (isPipeFull(error)) {
        this.retryTimer = setTimeout(() => {
          this.writeBatch();
        }, BATCH_DELAY_MILLISECONDS).unref();
      } else {
        this.dropFailedBatch();
      }
    });
  }

  private removeWritten(bytes: number): void {
    if (bytes > 0) {
      this.isMidLine = this.batch[bytes - 1] !== LINE_END;
      this.batch = this.batch.subarray(bytes);
    }
  }

  /**
   * Drops the unwritten lines of the batch after an error, except for the rest of a
   * partially written line.
   */
  private dropFailedBatch(): void {
    const kept = this.isMidLine ? firstLineBytes(this.batch) : 0;
    this.droppedLines += countLines(this.batch.subarray(kept));
    this.batch = this.batch.subarray(0, kept);
    this.isBatchActive = false;
    this.bufferedBytes = this.bufferedLines.reduce(
      (sum, line) => sum + Buffer.byteLength(line),
      this.batch.length,
    );
    this.flush();
  }
}

/** Whether a write failed because the pipe is full. */
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

function writeStandardOutputSync(bytes: Buffer): number {
  return writeSync(STANDARD_OUTPUT, bytes);
}
