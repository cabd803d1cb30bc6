import {chooseHolder} from '@wisteriadeal/ledger';
import type {LogClient} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';

import type {MembershipTable} from './membership-table.js';
import type {PlatformHealth} from './platform-health.js';
import type {StreamReplica} from './stream-replica.js';

/**
 * Appends a checkpoint to each stream every `recordsPerCheckpoint` records, so
 * that a new reader can start after older records have expired. Rendezvous
 * hashing selects one writer per stream. This only saves work: duplicate
 * checkpoints are harmless.
 */
export class CheckpointWriter {
  private readonly lastCheckpointOffsets = new Map<string, number>();

  constructor(
    private readonly membership: MembershipTable,
    private readonly replicas: readonly StreamReplica[],
    private readonly log: LogClient,
    private readonly health: PlatformHealth,
    private readonly recordsPerCheckpoint: number,
    private readonly eventLog: EventLog,
  ) {}

  /** Writes a checkpoint for each stream that needs one. */
  async writeDueCheckpoints(signal: AbortSignal): Promise<void> {
    for (const replica of this.replicas) {
      const last = this.lastCheckpointOffsets.get(replica.stream) ?? 0;
      if (
        replica.nextOffset - last >= this.recordsPerCheckpoint &&
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
    // Set before the append: if the answer is lost, the record may have been
    // stored. The next checkpoint then follows after the usual number of
    // records.
    this.lastCheckpointOffsets.set(stream, nextOffset);
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
