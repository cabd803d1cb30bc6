import type {EventLog} from '@wisteriadeal/runtime';

import type {MembershipTable} from './membership-table.js';
import type {PeerClients} from './peer-clients.js';
import type {StreamReplica} from './stream-replica.js';

/**
 * Reads a stream through a peer while the platform can't be reached. Records are
 * immutable and carry their offset, so it does not matter who passes them on.
 */
export class RelayReader {
  constructor(
    private readonly membership: MembershipTable,
    private readonly peers: PeerClients,
    private readonly eventLog: EventLog,
  ) {}

  /**
   * Takes records from a peer that is further ahead, until the signal is
   * aborted or the peer is lost.
   *
   * @returns False where no peer is further ahead.
   */
  async follow(replica: StreamReplica, signal: AbortSignal): Promise<boolean> {
    const [peer] = this.membership.peersBeyond(
      replica.stream,
      replica.nextOffset,
    );
    if (peer === undefined) {
      return false;
    }
    try {
      await this.read(replica, peer.controlAddress, signal);
    } catch (error) {
      this.eventLog.debug('relay ended', {
        peer: peer.incarnation,
        stream: replica.stream,
        reason: String(error),
      });
    }
    return true;
  }

  private async read(
    replica: StreamReplica,
    address: string,
    signal: AbortSignal,
  ): Promise<void> {
    const request = {
      stream: replica.stream,
      fromOffset: replica.nextOffset,
      follower: this.membership.self.incarnation,
    };
    const messages = this.peers.client(address).followStream(request, {signal});
    for await (const message of messages) {
      if (message.firstOffset > replica.nextOffset) {
        replica.restore(message.record, message.firstOffset);
      } else if (message.offset === replica.nextOffset) {
        replica.take({
          offset: message.offset,
          payload: message.record,
          appendedAtMilliseconds: message.appendedAtMilliseconds,
        });
      }
    }
  }
}
