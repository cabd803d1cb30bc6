import type {StreamOrigin} from '@wisteriadeal/decisions';
import type {Clock, Partition, PartitionedLog} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';

import type {Dialect} from '../dialect.js';
import type {EndpointDirectory} from '../endpoint-directory.js';
import {inRandomOrder} from '../random-order.js';
import type {PeerHost} from '../relay-directory.js';
import {decodePast} from './origin-messages.js';
import type {OriginWatch} from './origin-watch.js';
import type {StreamOriginPeers} from './stream-origin-peers.js';

/** Dependencies of `PastOriginsSource`. */
export interface PastOriginsSourceParts {
  readonly watch: OriginWatch;
  readonly directory: EndpointDirectory;
  readonly peers: StreamOriginPeers;
  readonly log: PartitionedLog;
  /** Partition of the list of endpoints. */
  readonly partition: Partition;
  readonly dialect: Dialect;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly otherHosts: () => readonly PeerHost[];
  /** A random number from 0 up to, but not including, 1. */
  readonly fraction: () => number;
}

/** Where a host learned what was listed before it started. */
enum PastSource {
  /** The list has had no other entries. */
  List = 'list',
  /** The store still has every record of the list. */
  Log = 'log',
  Host = 'host',
}

/** Longest log of the list that is read; about 300 kB. */
const MAXIMUM_LOG_RECORDS = 1_000;
/** Hosts that are asked at first. */
const FIRST_ASKED_HOSTS = 3;
/** Hosts that are asked later, once an interval. */
const ASKED_HOSTS = 1;
const ASK_INTERVAL_MILLISECONDS = 1_000;
/** Hosts know each other this long after a start. */
const FIRST_ASK_MILLISECONDS = 300;

/**
 * Finds out what was listed before this host started: from other hosts, and from the log
 * of the list if the store still has all of it. Without it, a host can't tell for as
 * long as a stream may last what began a stream that it has no record of.
 */
export class PastOriginsSource {
  private readonly stop = new AbortController();
  private isAsking = false;

  constructor(private readonly parts: PastOriginsSourceParts) {
    parts.directory.onRead((position, isWholeHistory) => {
      void this.listRead(position, isWholeHistory);
    });
  }

  /** Asks other hosts what this one has missed. */
  async learnMissed(): Promise<void> {
    await this.askSomeHosts(FIRST_ASKED_HOSTS);
    await this.askUntilComplete();
  }

  /** Asks no more hosts. */
  close(): void {
    this.stop.abort();
  }

  private async listRead(
    position: number,
    isWholeHistory: boolean,
  ): Promise<void> {
    const {watch, clock} = this.parts;
    const {signal} = this.stop;
    if (isWholeHistory) {
      this.learnAll(position, [], PastSource.List);
    }
    await clock.sleep(FIRST_ASK_MILLISECONDS, signal);
    await this.askSomeHosts(FIRST_ASKED_HOSTS);
    // The list alone proves nothing while routes may have gone to other services.
    const isOfUse = watch.areRoutesComplete && !watch.isComplete;
    if (isOfUse && position <= MAXIMUM_LOG_RECORDS) {
      await this.readLog(position);
    }
    await this.askUntilComplete();
  }

  /** Reads the list from its first record on; one that is no longer kept ends it. */
  private async readLog(position: number): Promise<void> {
    const {log, partition, events} = this.parts;
    const origins: StreamOrigin[] = [];
    try {
      for (let from = 0; from < position;) {
        const {records} = await log.read(partition, from, 0, {
          signal: this.stop.signal,
        });
        if (records.length === 0) {
          return;
        }
        origins.push(...this.originsOf(from, records));
        from += records.length;
      }
      this.learnAll(position, origins, PastSource.Log);
    } catch (error) {
      if (!this.stop.signal.aborted) {
        events.info('log of the list not read', {reason: String(error)});
      }
    }
  }

  private originsOf(
    from: number,
    records: readonly Uint8Array[],
  ): readonly StreamOrigin[] {
    const {log, dialect} = this.parts;
    return records.flatMap((bytes, index) => {
      const record = log.keyedRecord(from + index, bytes);
      const entry =
        record?.value && dialect.endpointEntry(record.key, record.value);
      return entry === undefined
        ? []
        : [{service: entry.service, build: entry.build}];
    });
  }

  /** Adds everything that has ever been listed. */
  private learnAll(
    position: number,
    origins: readonly StreamOrigin[],
    source: PastSource,
  ): void {
    const builds = origins.map(origin => ({origin, listedMilliseconds: 0}));
    const isUsed = this.parts.watch.learn({
      builds: {position, completeMilliseconds: Infinity, builds},
      routes: undefined,
    });
    this.report(isUsed, source);
  }

  /** Asks a host each interval until this one knows what may have begun any stream. */
  private async askUntilComplete(): Promise<void> {
    if (this.isAsking) {
      return;
    }
    this.isAsking = true;
    const {watch, clock} = this.parts;
    const {signal} = this.stop;
    while (!signal.aborted && !watch.isComplete) {
      await clock.sleep(ASK_INTERVAL_MILLISECONDS, signal);
      await this.askSomeHosts(ASKED_HOSTS);
    }
    this.isAsking = false;
  }

  private async askSomeHosts(count: number): Promise<void> {
    if (this.stop.signal.aborted || this.parts.watch.isComplete) {
      return;
    }
    const {otherHosts, fraction} = this.parts;
    const hosts = inRandomOrder(otherHosts(), fraction).slice(0, count);
    await Promise.all(hosts.map(({address}) => this.ask(address)));
  }

  private async ask(address: string): Promise<void> {
    const {peers, watch, events} = this.parts;
    try {
      const past = decodePast(await peers.past(address));
      const isUsed = watch.learn(past);
      if (watch.isComplete) {
        this.report(isUsed, PastSource.Host, address);
      }
    } catch (error) {
      events.info('past origins not answered', {
        address,
        reason: String(error),
      });
    }
  }

  private report(isUsed: boolean, source: PastSource, address?: string): void {
    const {watch, events} = this.parts;
    events.info('past origins learned', {
      source,
      address,
      isUsed,
      isComplete: watch.isComplete,
    });
  }
}
