import type {Clock, HostList} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';
import type {GossipMessage} from '@wisteriadeal/schema';

import type {MembershipTable} from './membership-table.js';
import type {PeerClients} from './peer-clients.js';

/**
 * Each peer is asked once in so many rounds, and asks as often itself. Peers
 * count as unreachable after five rounds by the default settings: fewer
 * exchanges than this made peers of a fleet of 16 hosts come and go, and every
 * change is sent to routers and moves holders.
 */
const ROUNDS_FOR_ALL = 4;

/**
 * The platform's list lags by seconds anyway, peers are heard by gossip, and a
 * reading costs as much as a heartbeat.
 */
const LIST_MILLISECONDS = 1_000;

/** Exchanges heartbeats with peers and reads the platform's list. */
export class GossipTask {
  private round = 0;

  constructor(
    private readonly membership: MembershipTable,
    private readonly hostList: HostList,
    private readonly peers: PeerClients,
    private readonly seeds: readonly string[],
    private readonly heartbeatMilliseconds: number,
    private readonly clock: Clock,
    private readonly eventLog: EventLog,
    private readonly ownMessage: () => GossipMessage,
  ) {}

  /** Sends heartbeats until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await Promise.all(
        this.addressesOfRound().map(address => this.exchange(address, signal)),
      );
      this.membership.refresh();
      await this.clock.sleep(this.heartbeatMilliseconds, signal);
    }
  }

  /**
   * Reads the platform's list until the signal is aborted; at the pace of the
   * heartbeat until it names another host, so that a fresh keeper finds peers
   * soon.
   */
  async runList(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        this.membership.list(await this.hostList.read(signal));
      } catch (error) {
        this.eventLog.debug('host list unreachable', {reason: String(error)});
      }
      const alone = this.membership.listedAddresses.length === 0;
      await this.clock.sleep(
        alone
          ? this.heartbeatMilliseconds
          : Math.max(this.heartbeatMilliseconds, LIST_MILLISECONDS),
        signal,
      );
    }
  }

  /** Tells everybody at once, for a graceful stop. */
  async announce(): Promise<void> {
    await Promise.all(
      this.membership.reachablePeers.map(peer =>
        this.exchange(peer.controlAddress),
      ),
    );
  }

  private addressesOfRound(): readonly string[] {
    this.round += 1;
    const {self, reachablePeers, listedAddresses} = this.membership;
    const known = reachablePeers.map(peer => ({
      address: peer.controlAddress,
      dataCenter: peer.dataCenter,
    }));
    const seeds = this.seeds.map(address => ({
      address,
      dataCenter: self.dataCenter,
    }));
    const all = [...listedAddresses, ...known, ...seeds].filter(
      candidate => candidate.address !== self.controlAddress,
    );
    const near = all.filter(peer => peer.dataCenter === self.dataCenter);
    const far = all.filter(peer => peer.dataCenter !== self.dataCenter);
    return [...this.inTurn(near), ...this.inTurn(far)];
  }

  private inTurn(
    peers: readonly {readonly address: string}[],
  ): readonly string[] {
    const addresses = [...new Set(peers.map(peer => peer.address))].sort();
    const count = Math.ceil(addresses.length / ROUNDS_FOR_ALL);
    const start = (this.round % ROUNDS_FOR_ALL) * count;
    return addresses.slice(start, start + count);
  }

  private async exchange(address: string, signal?: AbortSignal): Promise<void> {
    try {
      const answer = await this.peers
        .client(address)
        .gossip(this.ownMessage(), {
          timeoutMs: 2 * this.heartbeatMilliseconds,
          ...(signal === undefined ? {} : {signal}),
        });
      this.membership.heard(answer);
    } catch (error) {
      this.eventLog.debug('peer unreachable', {
        peer: address,
        reason: String(error),
      });
    }
  }
}
