import type {
  Clock,
  LogClient,
  LogPage,
  LogRecord,
} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';

import type {PlatformHealth} from './platform-health.js';
import type {RelayReader} from './relay-reader.js';
import type {StreamReplica} from './stream-replica.js';

/**
 * Maximum number of records per read; folding larger reads would block the
 * process.
 */
const RECORDS_PER_READ = 500;
/**
 * Maximum time that the platform holds a read open without new records.
 * Shorter reads cost more: each takes about 1.6 ms of processor time, and every
 * stream has one open. With longer reads, an outage without an error is
 * detected later, as it shows only when a read is overdue.
 */
const LONG_POLL_TIMEOUT_MILLISECONDS = 2_000;
/**
 * Delay between two attempts while neither the platform nor a relay is
 * available.
 */
const RETRY_DELAY_MILLISECONDS = 250;
/**
 * How long a relay is used before the next attempt to read the log directly.
 */
const RELAY_DURATION_MILLISECONDS = 2_000;

/**
 * Follows one stream in a single task, by reading the log or a peer's relay.
 */
export class StreamFollower {
  constructor(
    private readonly replica: StreamReplica,
    private readonly log: LogClient,
    private readonly relay: RelayReader,
    private readonly health: PlatformHealth,
    private readonly clock: Clock,
    private readonly eventLog: EventLog,
  ) {}

  /** Follows the stream until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        await this.readLog(signal);
      } catch (error) {
        this.health.recordFailure(this.replica.stream);
        this.eventLog.debug('log unreachable', {
          stream: this.replica.stream,
          reason: String(error),
        });
        await this.readRelay(signal);
      }
    }
  }

  private async readLog(signal: AbortSignal): Promise<void> {
    // Before the replica has caught up, and after each outage, decisions must
    // not use it. The first read must then return at once, without waiting for
    // a new record.
    const isCurrent = this.health.isCurrent(this.replica.stream);
    const page = await this.readPage(
      this.replica.nextOffset,
      isCurrent ? LONG_POLL_TIMEOUT_MILLISECONDS : 0,
      signal,
    );
    if (page.firstOffset > this.replica.nextOffset) {
      await this.restore(page.firstOffset, signal);
    } else {
      page.records.forEach(record => {
        this.replica.apply(record);
      });
    }
    this.health.recordSuccess(
      this.replica.stream,
      this.replica.nextOffset >= page.endOffset,
    );
  }

  private readPage(
    from: number,
    waitMilliseconds: number,
    signal: AbortSignal,
  ): Promise<LogPage> {
    return this.log.read(
      this.replica.stream,
      from,
      RECORDS_PER_READ,
      waitMilliseconds,
      signal,
    );
  }

  /**
   * Restores the replica after the next records have expired, from the first
   * valid checkpoint that covers them. Without such a checkpoint nothing is
   * folded, since after a gap the verdicts of this replica would differ from
   * those of others.
   */
  private async restore(
    firstOffset: number,
    signal: AbortSignal,
  ): Promise<void> {
    const {records, from} = await this.readAll(firstOffset, signal);
    const restored = records.some(record =>
      this.replica.restore(record.payload, from),
    );
    if (!restored) {
      this.eventLog.error('no checkpoint covers the expired records', {
        stream: this.replica.stream,
        firstOffset: from,
      });
      await this.clock.sleep(RELAY_DURATION_MILLISECONDS, signal);
      return;
    }
    records.forEach(record => {
      this.replica.apply(record);
    });
  }

  private async readAll(
    firstOffset: number,
    signal: AbortSignal,
  ): Promise<{records: readonly LogRecord[]; from: number}> {
    const records: LogRecord[] = [];
    let next = firstOffset;
    for (;;) {
      const page = await this.readPage(next, 0, signal);
      records.push(...page.records);
      next = page.nextOffset;
      if (page.records.length === 0 || next >= page.endOffset) {
        return {records, from: records[0]?.offset ?? firstOffset};
      }
    }
  }

  private async readRelay(signal: AbortSignal): Promise<void> {
    const relaySignal = AbortSignal.any([
      signal,
      AbortSignal.timeout(RELAY_DURATION_MILLISECONDS),
    ]);
    const followed = await this.relay.follow(this.replica, relaySignal);
    if (!followed) {
      await this.clock.sleep(RETRY_DELAY_MILLISECONDS, signal);
    }
  }
}
