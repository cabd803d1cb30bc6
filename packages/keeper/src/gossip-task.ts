import type {Clock, HostList, HostListing} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';
import type {GossipMessage} from '@wisteriadeal/schema';

import type {MembershipTable} from './membership-table.js';
import type {PeerClients} from './peer-clients.js';

/**
 * Each peer is contacted once in this number of rounds, and contacts this
 * keeper equally often. With the default settings a peer counts as unreachable
 * after five rounds. With fewer exchanges, peers in a fleet of 16 hosts flapped
 * between reachable and unreachable, and each change is sent to routers and
 * moves holders.
 */
const ROUNDS_PER_CYCLE = 4;

/**
 * Minimum interval between reads of the platform's host list once it names a
 * peer. The list lags by seconds and peers are also found by gossip, while a
 * read costs as much as a heartbeat.
 */
const HOST_LIST_INTERVAL_MILLISECONDS = 1_000;

/** Exchanges heartbeats with peers and polls the platform's host list. */
export class GossipTask {
  private round = 0;
  private ignoredEntries = 0;

  constructor(
    private readonly membership: MembershipTable,
    private readonly hostList: HostList,
    private readonly peers: PeerClients,
    private readonly seeds: readonly string[],
    private readonly heartbeatMilliseconds: number,
    private readonly clock: Clock,
    private readonly eventLog: EventLog,
    private readonly createMessage: () => GossipMessage,
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
   * Polls the platform's host list until the signal is aborted. It polls at the
   * heartbeat interval until the list names another host, so that a new keeper
   * finds its peers quickly.
   */
  async pollHostList(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        const listing = await this.hostList.read(signal);
        this.logIgnored(listing);
        this.membership.updateListing(listing);
      } catch (error) {
        this.eventLog.debug('host list unreachable', {reason: String(error)});
      }
      const hasNoListedPeer = this.membership.listedAddresses.length === 0;
      await this.clock.sleep(
        hasNoListedPeer
          ? this.heartbeatMilliseconds
          : Math.max(
              this.heartbeatMilliseconds,
              HOST_LIST_INTERVAL_MILLISECONDS,
            ),
        signal,
      );
    }
  }

  private logIgnored({ignoredEntries = 0}: HostListing): void {
    if (ignoredEntries !== this.ignoredEntries) {
      this.ignoredEntries = ignoredEntries;
      this.eventLog.warn('host list entries ignored', {
        entries: ignoredEntries,
        reason: 'fields are missing or of another type',
      });
    }
  }

  /** Sends a heartbeat to all reachable peers at once, for a graceful stop. */
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
    const local = all.filter(peer => peer.dataCenter === self.dataCenter);
    const remote = all.filter(peer => peer.dataCenter !== self.dataCenter);
    return [...this.selectForRound(local), ...this.selectForRound(remote)];
  }

  private selectForRound(
    peers: readonly {readonly address: string}[],
  ): readonly string[] {
    const addresses = [...new Set(peers.map(peer => peer.address))].sort();
    const count = Math.ceil(addresses.length / ROUNDS_PER_CYCLE);
    const start = (this.round % ROUNDS_PER_CYCLE) * count;
    return addresses.slice(start, start + count);
  }

  private async exchange(address: string, signal?: AbortSignal): Promise<void> {
    try {
      const answer = await this.peers
        .client(address)
        .gossip(this.createMessage(), {
          timeoutMs: 2 * this.heartbeatMilliseconds,
          ...(signal === undefined ? {} : {signal}),
        });
      this.membership.recordHeartbeat(answer);
    } catch (error) {
      this.eventLog.debug('peer unreachable', {
        peer: address,
        reason: String(error),
      });
    }
  }
}
