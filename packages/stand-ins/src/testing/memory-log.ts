import {
  Fate,
  LogClient,
  StepError,
  type Clock,
  type LogPage,
  type LogRecord,
} from '@wisteriadeal/platform';

/** Faults to inject into a log; they can be changed at any time. */
export interface LogFaults {
  /** Whether all appends and reads fail. */
  outage: boolean;
  /** Number of subsequent appends that take effect but fail with an unknown outcome. */
  answersToLose: number;
  /** Number of records that each stream retains; undefined retains all. */
  retentionRecords: number | undefined;
}

interface StoredStream {
  readonly records: LogRecord[];
  endOffset: number;
  readonly waiting: Set<() => void>;
}

/** The streams of an in-memory log, which several clients may share. */
export class MemoryLogStore {
  readonly faults: LogFaults = {
    outage: false,
    answersToLose: 0,
    retentionRecords: undefined,
  };

  private readonly streams = new Map<string, StoredStream>();

  constructor(private readonly clock: Clock) {}

  /** Appends a record, wakes the stream's waiting readers and returns the offset. */
  append(stream: string, payload: Uint8Array): number {
    const stored = this.stored(stream);
    const offset = stored.endOffset++;
    stored.records.push({
      offset,
      payload: Uint8Array.from(payload),
      appendedAtMilliseconds: this.clock.wallMilliseconds(),
    });
    const kept = this.faults.retentionRecords ?? stored.records.length;
    if (stored.records.length > kept) {
      stored.records.splice(0, stored.records.length - kept);
    }
    for (const wake of [...stored.waiting]) {
      wake();
    }
    return offset;
  }

  /** Returns up to `limit` retained records of a stream from an offset on. */
  page(stream: string, fromOffset: number, limit: number): LogPage {
    const {records: kept, endOffset} = this.stored(stream);
    const firstOffset = kept[0]?.offset ?? endOffset;
    const start = Math.max(0, fromOffset - firstOffset);
    const records = kept.slice(start, start + limit);
    const last = records.at(-1);
    const nextOffset =
      last === undefined ? Math.max(fromOffset, firstOffset) : last.offset + 1;
    return {records, firstOffset, nextOffset, endOffset};
  }

  /** Returns all retained records of a stream. */
  records(stream: string): readonly LogRecord[] {
    return this.stored(stream).records;
  }

  /** Returns the offset of the next append. */
  endOffset(stream: string): number {
    return this.stored(stream).endOffset;
  }

  /** Names of the streams that were read or written. */
  get streamNames(): readonly string[] {
    return [...this.streams.keys()];
  }

  /** Resolves at the stream's next append, or when the signal is aborted. */
  nextAppend(stream: string, signal: AbortSignal): Promise<void> {
    const {waiting} = this.stored(stream);
    return new Promise(resolve => {
      const finish = () => {
        waiting.delete(finish);
        signal.removeEventListener('abort', finish);
        resolve();
      };
      waiting.add(finish);
      signal.addEventListener('abort', finish, {once: true});
    });
  }

  private stored(stream: string): StoredStream {
    let stored = this.streams.get(stream);
    if (stored === undefined) {
      stored = {records: [], endOffset: 0, waiting: new Set()};
      this.streams.set(stream, stored);
    }
    return stored;
  }
}

/**
 * A log client for an in-memory log, for tests of other packages.
 *
 * @example
 * ```ts
 * const store = new MemoryLogStore(clock);
 * const log = new MemoryLog(store, clock);
 * store.faults.answersToLose = 1;
 * await log.append('ledger-0', payload); // throws although the record is stored
 * ```
 */
export class MemoryLog extends LogClient {
  /** Whether all calls of this client fail; other clients are not affected. */
  isDisconnected = false;

  constructor(
    private readonly store: MemoryLogStore,
    private readonly clock: Clock,
  ) {
    super();
  }

  override async append(stream: string, payload: Uint8Array): Promise<number> {
    const step = `append to ${stream}`;
    await Promise.resolve();
    this.requireReachable(step);
    const offset = this.store.append(stream, payload);
    if (this.store.faults.answersToLose > 0) {
      this.store.faults.answersToLose--;
      throw new StepError(step, 'memory log', Fate.Unknown, 'answer lost');
    }
    return offset;
  }

  override async read(
    stream: string,
    fromOffset: number,
    limit: number,
    waitMilliseconds: number,
    signal?: AbortSignal,
  ): Promise<LogPage> {
    await Promise.resolve();
    const step = `read ${stream}`;
    this.requireReachable(step);
    const page = this.store.page(stream, fromOffset, limit);
    if (page.records.length > 0 || waitMilliseconds === 0) {
      return page;
    }
    await this.waitForAppend(stream, waitMilliseconds, signal);
    this.requireReachable(step);
    return this.store.page(stream, fromOffset, limit);
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }

  private async waitForAppend(
    stream: string,
    milliseconds: number,
    signal: AbortSignal | undefined,
  ): Promise<void> {
    const waitEnded = new AbortController();
    const waitSignal =
      signal === undefined
        ? waitEnded.signal
        : AbortSignal.any([waitEnded.signal, signal]);
    await Promise.race([
      this.store.nextAppend(stream, waitSignal),
      this.clock.sleep(milliseconds, waitSignal),
    ]);
    waitEnded.abort();
  }

  private requireReachable(step: string): void {
    if (this.store.faults.outage || this.isDisconnected) {
      throw new StepError(step, 'memory log', Fate.NotDone, 'outage');
    }
  }
}
