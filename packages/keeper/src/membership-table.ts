import {create} from '@bufbuild/protobuf';
import {type Clock, type HostListing} from '@wisteriadeal/platform';
import {
  GossipMessageSchema,
  HostState,
  KeeperMemberSchema,
  MembershipSchema,
  RouterMemberSchema,
  type GossipMessage,
  type KeeperMember,
  type Membership,
  type ProcessIdentity,
  type RouterMember,
} from '@wisteriadeal/schema';

import {sortMembers} from './member-order.js';
import {PlatformListing} from './platform-listing.js';
import {RendezvousCache} from './rendezvous-cache.js';

/** A keeper is removed after this many heartbeat limits without a heartbeat. */
const EXPIRY_HEARTBEAT_LIMITS = 20;

interface PeerState {
  readonly identity: ProcessIdentity;
  state: HostState;
  lastHeartbeatAt: number;
  /** Time since which no heartbeat was later than the heartbeat limit. */
  readonly reachableSince: number;
  routers: readonly RouterMember[];
  nextOffsets: Readonly<Record<string, number>>;
  leavingEndpoints: readonly string[];
}

/**
 * The live processes as seen by this keeper. The platform's host list names the
 * peers to contact, and a peer counts as reachable while its last heartbeat is
 * not older than the heartbeat limit.
 */
export class MembershipTable {
  private readonly keepers = new Map<string, PeerState>();
  private ownRouters = new Map<string, ProcessIdentity>();
  private readonly platformListing = new PlatformListing();
  private ownState = HostState.LIVE;
  private readonly listeners: (() => void)[] = [];
  private lastMembershipJson = '';
  private readonly holderChoices = new RendezvousCache();
  private readonly witnessChoices = new RendezvousCache();

  constructor(
    readonly self: ProcessIdentity,
    private readonly heartbeatLimitMilliseconds: number,
    private readonly clock: Clock,
    private readonly witnessTimeoutMilliseconds = heartbeatLimitMilliseconds,
  ) {}

  /**
   * Adds a listener that is called when the membership sent to routers has
   * changed.
   */
  addListener(listener: () => void): void {
    this.listeners.push(listener);
  }

  /**
   * Marks this keeper as leaving, so that it is no longer chosen as a holder.
   */
  startLeaving(): void {
    this.ownState = HostState.LEAVING;
    this.refresh();
  }

  /** Whether this keeper is leaving. */
  get isLeaving(): boolean {
    return this.ownState === HostState.LEAVING;
  }

  /** Applies the platform's host list as it was last read. */
  updateListing(listing: HostListing): void {
    this.platformListing.update(listing);
    this.refresh();
  }

  /** Addresses of the keepers on the platform's host list, without this one. */
  get listedAddresses(): readonly {address: string; dataCenter: string}[] {
    return this.platformListing.hosts
      .filter(host => host.host !== this.self.host)
      .map(host => ({
        address: host.keeperAddress,
        dataCenter: host.dataCenter,
      }));
  }

  /** Applies a peer's heartbeat. */
  recordHeartbeat(message: GossipMessage): void {
    const {sender} = message;
    if (sender === undefined || sender.incarnation === this.self.incarnation) {
      return;
    }
    const state =
      message.keepers.find(
        keeper => keeper.identity?.incarnation === sender.incarnation,
      )?.state ?? HostState.LIVE;
    const now = this.clock.monotonicMilliseconds();
    const earlier = this.keepers.get(sender.incarnation);
    const wasReachable =
      earlier !== undefined && this.isReachable(sender.incarnation);
    this.keepers.set(sender.incarnation, {
      identity: sender,
      state,
      lastHeartbeatAt: now,
      reachableSince: wasReachable ? earlier.reachableSince : now,
      routers: message.routers,
      nextOffsets: message.nextOffsets,
      leavingEndpoints: message.leavingEndpoints,
    });
    this.refresh();
  }

  /** Sets the routers that have a session with this keeper. */
  setOwnRouters(routers: readonly ProcessIdentity[]): void {
    this.ownRouters = new Map(
      routers.map(router => [router.incarnation, router]),
    );
    this.refresh();
  }

  /**
   * Whether a peer's last heartbeat is within the limit; always true for this
   * keeper.
   */
  isReachable(incarnation: string): boolean {
    return (
      incarnation === this.self.incarnation ||
      this.millisecondsSinceHeartbeat(incarnation) <=
        this.heartbeatLimitMilliseconds
    );
  }

  /**
   * Whether a peer has been reachable for at least the time after which a
   * silent witness is replaced.
   */
  isSteadilyReachable(incarnation: string): boolean {
    const keeper = this.keepers.get(incarnation);
    return (
      keeper !== undefined &&
      this.isReachable(incarnation) &&
      this.clock.monotonicMilliseconds() - keeper.reachableSince >=
        this.witnessTimeoutMilliseconds
    );
  }

  /** Whether a peer has reported that it is leaving. */
  isLeavingPeer(incarnation: string): boolean {
    return this.keepers.get(incarnation)?.state === HostState.LEAVING;
  }

  /** Whether a known keeper is in this keeper's data centre. */
  isLocal(incarnation: string): boolean {
    return this.identityOf(incarnation)?.dataCenter === this.self.dataCenter;
  }

  /** Time since a peer's last heartbeat; Infinity if there was none. */
  millisecondsSinceHeartbeat(incarnation: string): number {
    const keeper = this.keepers.get(incarnation);
    return keeper === undefined
      ? Infinity
      : this.clock.monotonicMilliseconds() - keeper.lastHeartbeatAt;
  }

  /**
   * Returns the identity of a known keeper, with the address by which this host
   * reaches it.
   */
  identityOf(incarnation: string): ProcessIdentity | undefined {
    if (incarnation === this.self.incarnation) {
      return this.self;
    }
    const identity = this.keepers.get(incarnation)?.identity;
    return identity === undefined
      ? undefined
      : this.platformListing.withReachableAddress(identity);
  }

  /** Other keepers that are reachable and not leaving. */
  get reachablePeers(): readonly ProcessIdentity[] {
    return this.peersHeardWithin(this.heartbeatLimitMilliseconds);
  }

  /** Returns reachable peers that have read a stream beyond `offset`. */
  peersAheadOf(stream: string, offset: number): readonly ProcessIdentity[] {
    return this.reachablePeers.filter(
      peer =>
        (this.keepers.get(peer.incarnation)?.nextOffsets[stream] ?? 0) > offset,
    );
  }

  /** Returns the holder of an organisation in this data centre. */
  holderOf(organisation: string): string | undefined {
    const candidates = this.reachablePeers
      .filter(peer => peer.dataCenter === this.self.dataCenter)
      .map(peer => peer.incarnation);
    if (!this.isLeaving) {
      candidates.push(this.self.incarnation);
    }
    return this.holderChoices.choose(organisation, candidates);
  }

  /**
   * Returns the peer that should witness this keeper's grants of an
   * organisation. It is always on another host, and in the same data centre if
   * possible.
   *
   * After a stall of this process or its host, all peers seem to be
   * unreachable. A grant that lost its witness at once could not be reclaimed
   * if this host died, so peers whose last heartbeat is within the witness
   * timeout then count too.
   *
   * @returns undefined if no peer's last heartbeat is within the witness
   * timeout.
   */
  witnessFor(organisation: string): string | undefined {
    const reachable = this.witnessesHeardWithin(
      this.heartbeatLimitMilliseconds,
    );
    const peers =
      reachable.length > 0
        ? reachable
        : this.witnessesHeardWithin(this.witnessTimeoutMilliseconds);
    const local = peers.filter(
      peer => peer.dataCenter === this.self.dataCenter,
    );
    const candidates = local.length > 0 ? local : peers;
    return this.witnessChoices.choose(
      organisation,
      candidates.map(peer => peer.incarnation),
    );
  }

  private witnessesHeardWithin(
    milliseconds: number,
  ): readonly ProcessIdentity[] {
    return this.peersHeardWithin(milliseconds).filter(
      peer => peer.host !== this.self.host,
    );
  }

  private peersHeardWithin(milliseconds: number): readonly ProcessIdentity[] {
    return [...this.keepers.values()]
      .filter(
        ({state, identity}) =>
          state === HostState.LIVE &&
          this.millisecondsSinceHeartbeat(identity.incarnation) <= milliseconds,
      )
      .map(keeper =>
        this.platformListing.withReachableAddress(keeper.identity),
      );
  }

  /**
   * Data centres with a live host on the host list or a known keeper, including
   * this one.
   */
  get dataCenters(): ReadonlySet<string> {
    return new Set([
      this.self.dataCenter,
      ...this.platformListing.liveDataCenters,
      ...[...this.keepers.values()].map(keeper => keeper.identity.dataCenter),
    ]);
  }

  /**
   * Returns the identity of a router, or undefined if it is not known to be
   * live.
   */
  liveRouter(incarnation: string): ProcessIdentity | undefined {
    return this.routers.find(
      router => router.identity?.incarnation === incarnation,
    )?.identity;
  }

  /**
   * Whether the lack of a router on the heartbeats of its data centre shows that
   * it has stopped. That is so for this keeper's own data centre, for one with a
   * keeper that has been reachable for the given time, and for one that has no
   * live host any more. Otherwise the data centre may be partitioned from this
   * one.
   */
  knowsRoutersOf(dataCenter: string, milliseconds: number): boolean {
    if (dataCenter === this.self.dataCenter) {
      return true;
    }
    const now = this.clock.monotonicMilliseconds();
    const keepers = [...this.keepers.values()].filter(
      ({identity}) => identity.dataCenter === dataCenter,
    );
    const reachable = keepers.filter(({identity}) =>
      this.isReachable(identity.incarnation),
    );
    if (reachable.length > 0) {
      return reachable.some(
        ({reachableSince}) => now - reachableSince >= milliseconds,
      );
    }
    return (
      keepers.every(({state}) => state === HostState.LEAVING) &&
      !this.platformListing.liveDataCenters.includes(dataCenter)
    );
  }

  /** The membership that is sent to routers. */
  get membership(): Membership {
    const others = [...this.keepers.values()].map(keeper =>
      create(KeeperMemberSchema, {
        identity: this.platformListing.withReachableAddress(keeper.identity),
        state: keeper.state,
        reachable: this.isReachable(keeper.identity.incarnation),
      }),
    );
    return create(MembershipSchema, {
      keepers: sortMembers([this.ownMember, ...others]),
      routers: sortMembers([...this.routers]),
      leavingEndpoints: [...this.leavingEndpoints],
    });
  }

  /** Creates the heartbeat that is sent to peers. */
  createGossip(
    configurationVersion: number,
    nextOffsets: Record<string, number>,
  ): GossipMessage {
    return create(GossipMessageSchema, {
      sender: this.self,
      keepers: [this.ownMember],
      routers: this.ownRouterMembers,
      configurationVersion,
      nextOffsets,
      leavingEndpoints: [...this.platformListing.leavingEndpoints],
    });
  }

  /**
   * Removes expired keepers, and notifies listeners if the membership has
   * changed.
   */
  refresh(): void {
    const limit = EXPIRY_HEARTBEAT_LIMITS * this.heartbeatLimitMilliseconds;
    for (const incarnation of [...this.keepers.keys()]) {
      if (this.millisecondsSinceHeartbeat(incarnation) > limit) {
        this.keepers.delete(incarnation);
      }
    }
    const json = JSON.stringify(this.membership);
    if (json !== this.lastMembershipJson) {
      this.lastMembershipJson = json;
      this.listeners.forEach(listener => {
        listener();
      });
    }
  }

  private get ownMember(): KeeperMember {
    return create(KeeperMemberSchema, {
      identity: this.self,
      state: this.ownState,
      reachable: true,
    });
  }

  private get ownRouterMembers(): RouterMember[] {
    return [...this.ownRouters.values()].map(identity =>
      create(RouterMemberSchema, {identity, state: HostState.LIVE}),
    );
  }

  private get routers(): readonly RouterMember[] {
    const known = new Map<string, RouterMember>();
    const reachable = [...this.keepers.values()].filter(keeper =>
      this.isReachable(keeper.identity.incarnation),
    );
    for (const member of [
      ...this.ownRouterMembers,
      ...reachable.flatMap(keeper =>
        this.platformListing.withReachableAddresses(keeper.routers),
      ),
    ]) {
      known.set(member.identity?.incarnation ?? '', member);
    }
    return [...known.values()];
  }

  /**
   * Endpoints that this keeper or any reachable peer has read as leaving. Peers
   * are included since the platform's list lags and a data centre may be cut
   * off from it. Each keeper sends only what it has read itself; otherwise
   * keepers would confirm each other's state and exclude an endpoint that came
   * back.
   */
  private get leavingEndpoints(): readonly string[] {
    const reachable = [...this.keepers.values()].filter(keeper =>
      this.isReachable(keeper.identity.incarnation),
    );
    return [
      ...new Set([
        ...this.platformListing.leavingEndpoints,
        ...reachable.flatMap(keeper => keeper.leavingEndpoints),
      ]),
    ].sort();
  }
}
