import {isReadSlow} from '@wisteriadeal/decisions';
import type {Clock, NewestRecords, ReadProgress} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';

import {inRandomOrder} from '../random-order.js';
import type {PeerHost} from '../relay-directory.js';
import type {TopicCopyPeers} from './topic-copy-peers.js';

/** Dependencies of `TopicCatchUp`. */
export interface TopicCatchUpParts {
  readonly topic: string;
  /** Time within which a change has to be in force, milliseconds. */
  readonly applyMilliseconds: number;
  readonly dataCenter: string;
  readonly peers: TopicCopyPeers;
  readonly clock: Clock;
  readonly events: EventLog;
  /** Lists the other hosts. */
  readonly otherHosts: () => readonly PeerHost[];
  /** Returns random numbers in [0, 1). */
  readonly fraction: () => number;
}

/** Hosts that are asked one pair after the other before a pause. */
const ASKED_PAIRS = 3;
/** Pause before hosts are asked again; by then they may have read the change. */
const ASK_INTERVAL_MILLISECONDS = 300;
/** Interval in which the speed of a read is judged. */
const CHECK_INTERVAL_MILLISECONDS = 50;

/** The read of the changes from one position on, over all its attempts. */
class OpenRead {
  readonly end = new AbortController();
  /** Undefined before the store has answered. */
  progress: ReadProgress | undefined;

  /**
   * @param startedAt When the store first answered; monotonic clock, milliseconds.
   * @param isKnownSlow Whether the read before it was slow.
   */
  constructor(
    readonly position: number,
    readonly startedAt: number,
    readonly isKnownSlow: boolean,
  ) {}
}

/**
 * Asks other hosts for their copies of a topic while this host's own read of it is slow.
 * The store sends one record as a whole, for which a full link may take half a minute; a
 * copy of a configuration is 13 times smaller.
 *
 * @example
 * ```ts
 * catchUp.setCopyListener(copy => takeOver(copy));
 * catchUp.progressed(7, {end: 9, receivedBytes: 16_384, totalBytes: 580_000});
 * catchUp.ended();
 * ```
 */
export class TopicCatchUp {
  private open: OpenRead | undefined;
  private isClosed = false;
  private onCopy: (copy: NewestRecords) => void = () => undefined;

  constructor(private readonly parts: TopicCatchUpParts) {}

  /** Sets the listener for copies that are newer than the position of the open read. */
  setCopyListener(listener: (copy: NewestRecords) => void): void {
    this.onCopy = listener;
  }

  /** Records how much of a response with the changes from a position on has arrived. */
  progressed(position: number, progress: ReadProgress): void {
    this.openAt(position).progress = progress;
  }

  /** Records that the changes from a position on were read. */
  ended(): void {
    this.open?.end.abort();
    this.open = undefined;
  }

  /** Asks no more hosts, whatever is recorded from now on. */
  close(): void {
    this.isClosed = true;
    this.ended();
  }

  private openAt(position: number, isKnownSlow = false): OpenRead {
    if (this.open?.position !== position) {
      this.ended();
      this.open = new OpenRead(position, this.now(), isKnownSlow);
      if (this.isClosed) {
        this.open.end.abort();
      }
      void this.help(this.open);
    }
    return this.open;
  }

  /** Asks other hosts again and again as long as a read is slow. */
  private async help(read: OpenRead): Promise<void> {
    const {clock, events, topic} = this.parts;
    const {position, end} = read;
    while (!end.signal.aborted && !this.isSlow(read)) {
      await clock.sleep(CHECK_INTERVAL_MILLISECONDS, end.signal);
    }
    if (!end.signal.aborted) {
      events.info('asking for topic copies', {topic, position});
    }
    while (!end.signal.aborted) {
      await this.askHosts(read);
      await clock.sleep(ASK_INTERVAL_MILLISECONDS, end.signal);
    }
  }

  private isSlow({isKnownSlow, startedAt, progress}: OpenRead): boolean {
    return (
      isKnownSlow ||
      isReadSlow(
        {
          elapsedMilliseconds: this.now() - startedAt,
          receivedBytes: progress?.receivedBytes ?? 0,
          totalBytes: progress?.totalBytes,
        },
        this.parts.applyMilliseconds,
      )
    );
  }

  /** Asks hosts two at a time, one of them in this data centre, until one has a copy. */
  private async askHosts(read: OpenRead): Promise<void> {
    const {signal} = read.end;
    for (const pair of this.choosePairs()) {
      const copy = await this.firstCopy(pair, read);
      if (signal.aborted) {
        return;
      }
      if (copy !== undefined) {
        this.onCopy(copy);
        // Further changes may have come while the copy was sent.
        this.openAt(copy.resumeOffset, true);
        return;
      }
    }
  }

  private choosePairs(): readonly (readonly PeerHost[])[] {
    const {dataCenter, otherHosts, fraction} = this.parts;
    const hosts = inRandomOrder(otherHosts(), fraction);
    const near = hosts.filter(host => host.dataCenter === dataCenter);
    const far = hosts.filter(host => host.dataCenter !== dataCenter);
    const ordered = Array.from({length: ASKED_PAIRS}, () => [
      ...(near.length > 0 ? near.splice(0, 1) : far.splice(0, 1)),
      ...(far.length > 0 ? far.splice(0, 1) : near.splice(0, 1)),
    ]);
    return ordered.filter(pair => pair.length > 0);
  }

  /** Resolves with the first copy of some hosts; undefined if none of them has one. */
  private firstCopy(
    hosts: readonly PeerHost[],
    {position, end}: OpenRead,
  ): Promise<NewestRecords | undefined> {
    const {topic, peers, events} = this.parts;
    const others = new AbortController();
    const signal = AbortSignal.any([end.signal, others.signal]);
    return new Promise(resolve => {
      const asked = hosts.map(async ({address}) => {
        try {
          const copy = await peers.find(address, {topic, position}, signal);
          if (copy !== undefined && copy.resumeOffset > position) {
            resolve(copy);
            others.abort();
          }
        } catch (error) {
          if (!signal.aborted) {
            events.info('topic copy not received', {
              topic,
              address,
              reason: String(error),
            });
          }
        }
      });
      void Promise.all(asked).then(() => {
        resolve(undefined);
      });
    });
  }

  private now(): number {
    return this.parts.clock.monotonicMilliseconds();
  }
}
