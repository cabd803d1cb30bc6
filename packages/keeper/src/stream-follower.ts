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

/** Records a read asks for; larger reads would hold up the process. */
const PAGE_RECORDS = 500;
/**
 * How long the platform may hold a read open where nothing is new. A read costs
 * about 1.6 ms of processor time and each stream has one open; but a silent
 * outage is noticed only when a read is overdue.
 */
const LONG_POLL_MILLISECONDS = 2_000;
/** Between two tries while the platform is away. */
const RETRY_MILLISECONDS = 250;
/** A relay is left after this long to see whether the platform is back. */
const RELAY_MILLISECONDS = 2_000;

/** Follows one stream: a single task, by the log or by a peer's relay. */
export class StreamFollower {
  constructor(
    private readonly replica: StreamReplica,
    private readonly log: LogClient,
    private readonly relay: RelayReader,
    private readonly health: PlatformHealth,
    private readonly clock: Clock,
    private readonly eventLog: EventLog,
  ) {}

  /** Runs until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        await this.readLog(signal);
      } catch (error) {
        this.health.failed(this.replica.stream);
        this.eventLog.debug('log unreachable', {
          stream: this.replica.stream,
          reason: String(error),
        });
        await this.readRelay(signal);
      }
    }
  }

  private async readLog(signal: AbortSignal): Promise<void> {
    // Until it has caught up, and after each outage, nothing may rest on this
    // replica: the first read then must not wait for a record to come.
    const current = this.health.isCurrent(this.replica.stream);
    const page = await this.readPage(
      this.replica.nextOffset,
      current ? LONG_POLL_MILLISECONDS : 0,
      signal,
    );
    if (page.firstOffset > this.replica.nextOffset) {
      await this.restore(page.firstOffset, signal);
    } else {
      page.records.forEach(record => {
        this.replica.take(record);
      });
    }
    this.health.succeeded(
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
      PAGE_RECORDS,
      waitMilliseconds,
      signal,
    );
  }

  /**
   * The records that join on have expired: starts from the first valid
   * checkpoint that covers them. Without one nothing is folded, since a hole
   * would give every verdict after it another meaning than elsewhere.
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
      await this.clock.sleep(RELAY_MILLISECONDS, signal);
      return;
    }
    records.forEach(record => {
      this.replica.take(record);
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
    const until = AbortSignal.any([
      signal,
      AbortSignal.timeout(RELAY_MILLISECONDS),
    ]);
    const followed = await this.relay.follow(this.replica, until);
    if (!followed) {
      await this.clock.sleep(RETRY_MILLISECONDS, signal);
    }
  }
}
