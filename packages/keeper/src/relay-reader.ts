import type {EventLog} from '@wisteriadeal/runtime';

import type {MembershipTable} from './membership-table.js';
import type {PeerClients} from './peer-clients.js';
import type {StreamReplica} from './stream-replica.js';

/**
 * Reads a stream through a peer while the platform is unreachable. Records are
 * immutable and carry their offset, so any peer can relay them.
 */
export class RelayReader {
  constructor(
    private readonly membership: MembershipTable,
    private readonly peers: PeerClients,
    private readonly eventLog: EventLog,
  ) {}

  /**
   * Applies records from a peer that has read further, until the signal is
   * aborted or the peer's stream ends.
   *
   * @returns False if no reachable peer has read further.
   */
  async follow(replica: StreamReplica, signal: AbortSignal): Promise<boolean> {
    const [peer] = this.membership.peersAheadOf(
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
        replica.apply({
          offset: message.offset,
          payload: message.record,
          appendedAtMilliseconds: message.appendedAtMilliseconds,
        });
      }
    }
  }
}
