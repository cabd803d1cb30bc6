import {chooseHolder} from '@wisteriadeal/ledger';
import type {LogClient} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';

import type {MembershipTable} from './membership-table.js';
import type {PlatformHealth} from './platform-health.js';
import type {StreamReplica} from './stream-replica.js';

/**
 * Appends a checkpoint of each stream after so many records, so that a fresh
 * reader can start after the older ones have expired. Rendezvous hashing names
 * one writer, for efficiency only: a second checkpoint does no harm.
 */
export class CheckpointWriter {
  private readonly writtenAt = new Map<string, number>();

  constructor(
    private readonly membership: MembershipTable,
    private readonly replicas: readonly StreamReplica[],
    private readonly log: LogClient,
    private readonly health: PlatformHealth,
    private readonly everyRecords: number,
    private readonly eventLog: EventLog,
  ) {}

  /** Writes what is due. */
  async review(signal: AbortSignal): Promise<void> {
    for (const replica of this.replicas) {
      const last = this.writtenAt.get(replica.stream) ?? 0;
      if (
        replica.nextOffset - last >= this.everyRecords &&
        this.health.isReachable(replica.stream) &&
        this.isWriter(replica.stream)
      ) {
        await this.write(replica, signal);
      }
    }
  }

  private isWriter(stream: string): boolean {
    const {self, reachablePeers} = this.membership;
    const candidates = [
      self.incarnation,
      ...reachablePeers.map(peer => peer.incarnation),
    ];
    return chooseHolder(stream, candidates) === self.incarnation;
  }

  private async write(
    replica: StreamReplica,
    signal: AbortSignal,
  ): Promise<void> {
    const {stream, nextOffset} = replica;
    const {incarnation} = this.membership.self;
    // Counted before the append: where its answer is lost, the record may stand,
    // and the next one comes after the usual number of records.
    this.writtenAt.set(stream, nextOffset);
    try {
      await this.log.append(stream, replica.checkpoint(incarnation), signal);
      this.eventLog.info('checkpoint written', {stream, offset: nextOffset});
    } catch (error) {
      this.eventLog.warn('checkpoint not confirmed', {
        stream,
        reason: String(error),
      });
    }
  }
}
