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

import {inOrder} from './member-order.js';
import {PlatformListing} from './platform-listing.js';
import {RankedChoice} from './ranked-choice.js';

/** A keeper not heard from for so many limits is forgotten. */
const FORGET_LIMITS = 20;

interface KnownKeeper {
  readonly identity: ProcessIdentity;
  state: HostState;
  heardAt: number;
  routers: readonly RouterMember[];
  nextOffsets: Readonly<Record<string, number>>;
  leavingEndpoints: readonly string[];
}

/**
 * Who is live, from this keeper's own view: the platform's list says whom to
 * ask, and a peer counts as reachable while it was heard from within the limit.
 */
export class MembershipTable {
  private readonly keepers = new Map<string, KnownKeeper>();
  private ownRouters = new Map<string, ProcessIdentity>();
  private readonly platform = new PlatformListing();
  private ownState = HostState.LIVE;
  private readonly listeners: (() => void)[] = [];
  private lastMembership = '';
  private readonly holders = new RankedChoice();
  private readonly witnesses = new RankedChoice();

  constructor(
    readonly self: ProcessIdentity,
    private readonly heartbeatLimitMilliseconds: number,
    private readonly clock: Clock,
    private readonly witnessPatienceMilliseconds = heartbeatLimitMilliseconds,
  ) {}

  /** Calls back when the membership that routers see has changed. */
  listen(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** This keeper takes no more work. */
  leave(): void {
    this.ownState = HostState.LEAVING;
    this.refresh();
  }

  /** Whether this keeper is on its way out. */
  get isLeaving(): boolean {
    return this.ownState === HostState.LEAVING;
  }

  /** Takes a reading of the platform's list. */
  list(listing: HostListing): void {
    this.platform.take(listing);
    this.refresh();
  }

  /** Addresses of keepers that the platform lists, without this one. */
  get listedAddresses(): readonly {address: string; dataCenter: string}[] {
    return this.platform.hosts
      .filter(host => host.host !== this.self.host)
      .map(host => ({
        address: host.keeperAddress,
        dataCenter: host.dataCenter,
      }));
  }

  /** A peer was heard from. */
  heard(message: GossipMessage): void {
    const {sender} = message;
    if (sender === undefined || sender.incarnation === this.self.incarnation) {
      return;
    }
    const state =
      message.keepers.find(
        keeper => keeper.identity?.incarnation === sender.incarnation,
      )?.state ?? HostState.LIVE;
    this.keepers.set(sender.incarnation, {
      identity: sender,
      state,
      heardAt: this.clock.monotonicMilliseconds(),
      routers: message.routers,
      nextOffsets: message.nextOffsets,
      leavingEndpoints: message.leavingEndpoints,
    });
    this.refresh();
  }

  /** A router opened or ended its session with this keeper. */
  setOwnRouters(routers: readonly ProcessIdentity[]): void {
    this.ownRouters = new Map(
      routers.map(router => [router.incarnation, router]),
    );
    this.refresh();
  }

  /** Whether a peer was heard from within the limit; true for this keeper. */
  isReachable(incarnation: string): boolean {
    return (
      incarnation === this.self.incarnation ||
      this.silenceMilliseconds(incarnation) <= this.heartbeatLimitMilliseconds
    );
  }

  /** How long a peer has been silent; Infinity where it was never heard. */
  silenceMilliseconds(incarnation: string): number {
    const keeper = this.keepers.get(incarnation);
    return keeper === undefined
      ? Infinity
      : this.clock.monotonicMilliseconds() - keeper.heardAt;
  }

  /** A known keeper. */
  identityOf(incarnation: string): ProcessIdentity | undefined {
    if (incarnation === this.self.incarnation) {
      return this.self;
    }
    const identity = this.keepers.get(incarnation)?.identity;
    return identity === undefined
      ? undefined
      : this.platform.keeperAsReached(identity);
  }

  /** Other keepers that can be reached, not leaving. */
  get reachablePeers(): readonly ProcessIdentity[] {
    return this.peersHeardWithin(this.heartbeatLimitMilliseconds);
  }

  /** Reachable peers that have read a stream further than `offset`. */
  peersBeyond(stream: string, offset: number): readonly ProcessIdentity[] {
    return this.reachablePeers.filter(
      peer =>
        (this.keepers.get(peer.incarnation)?.nextOffsets[stream] ?? 0) > offset,
    );
  }

  /** The holder of an organisation in this data centre. */
  holderOf(organisation: string): string | undefined {
    const candidates = this.reachablePeers
      .filter(peer => peer.dataCenter === this.self.dataCenter)
      .map(peer => peer.incarnation);
    if (!this.isLeaving) {
      candidates.push(this.self.incarnation);
    }
    return this.holders.best(organisation, candidates);
  }

  /**
   * The peer that should witness this keeper's grants of an organisation: in
   * its own data centre where there is one, else elsewhere; another host always.
   *
   * Load: this process, or the machine, was held up, and all peers seem silent. Harm
   * of naming nobody at once: nobody can take the grant back if this host is lost.
   *
   * @returns Undefined once all peers have been silent for the witness's patience.
   */
  witnessFor(organisation: string): string | undefined {
    const reachable = this.witnessesHeardWithin(
      this.heartbeatLimitMilliseconds,
    );
    const peers =
      reachable.length > 0
        ? reachable
        : this.witnessesHeardWithin(this.witnessPatienceMilliseconds);
    const near = peers.filter(peer => peer.dataCenter === this.self.dataCenter);
    const candidates = near.length > 0 ? near : peers;
    return this.witnesses.best(
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
          this.silenceMilliseconds(identity.incarnation) <= milliseconds,
      )
      .map(keeper => this.platform.keeperAsReached(keeper.identity));
  }

  /** Data centres with a live keeper, as far as is known; at least this one. */
  get dataCenters(): ReadonlySet<string> {
    return new Set([
      this.self.dataCenter,
      ...this.platform.liveDataCenters,
      ...[...this.keepers.values()].map(keeper => keeper.identity.dataCenter),
    ]);
  }

  /** Whether a router is known to be live. */
  router(incarnation: string): ProcessIdentity | undefined {
    return this.routers.find(
      router => router.identity?.incarnation === incarnation,
    )?.identity;
  }

  /** What routers are told. */
  get membership(): Membership {
    const others = [...this.keepers.values()].map(keeper =>
      create(KeeperMemberSchema, {
        identity: this.platform.keeperAsReached(keeper.identity),
        state: keeper.state,
        reachable: this.isReachable(keeper.identity.incarnation),
      }),
    );
    return create(MembershipSchema, {
      keepers: inOrder([this.ownMember, ...others]),
      routers: inOrder([...this.routers]),
      leavingEndpoints: [...this.leavingEndpoints],
    });
  }

  /** What peers are told. */
  gossip(
    configurationVersion: number,
    nextOffsets: Record<string, number>,
  ): GossipMessage {
    return create(GossipMessageSchema, {
      sender: this.self,
      keepers: [this.ownMember],
      routers: this.ownRouterMembers,
      configurationVersion,
      nextOffsets,
      leavingEndpoints: [...this.platform.leavingEndpoints],
    });
  }

  /** Forgets the long silent and tells listeners of what changed. */
  refresh(): void {
    const limit = FORGET_LIMITS * this.heartbeatLimitMilliseconds;
    for (const incarnation of [...this.keepers.keys()]) {
      if (this.silenceMilliseconds(incarnation) > limit) {
        this.keepers.delete(incarnation);
      }
    }
    const text = JSON.stringify(this.membership);
    if (text !== this.lastMembership) {
      this.lastMembership = text;
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
        this.platform.routersAsReached(keeper.routers),
      ),
    ]) {
      known.set(member.identity?.incarnation ?? '', member);
    }
    return [...known.values()];
  }

  /**
   * The platform's list lags and a data centre may be cut off from it, so what
   * any reachable peer has read as leaving counts as leaving. Peers pass on only
   * their own reading, so that an endpoint that came back is not kept out by
   * keepers that repeat one another.
   */
  private get leavingEndpoints(): readonly string[] {
    const reachable = [...this.keepers.values()].filter(keeper =>
      this.isReachable(keeper.identity.incarnation),
    );
    return [
      ...new Set([
        ...this.platform.leavingEndpoints,
        ...reachable.flatMap(keeper => keeper.leavingEndpoints),
      ]),
    ].sort();
  }
}
