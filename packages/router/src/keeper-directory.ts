import {chooseHolder} from '@wisteriadeal/ledger';
import type {Clock} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';
import {
  HostState,
  type ConfigurationInForce,
  type KeeperMessage,
  type Membership,
  type ProcessIdentity,
} from '@wisteriadeal/schema';

import type {KeeperConnector} from './keeper-link.js';
import {KeeperSession, type KeeperSessionListener} from './keeper-session.js';

/** Told of what all sessions hear together. */
export interface DirectoryListener {
  configurationChanged(inForce: ConfigurationInForce): void;
  membershipChanged(): void;
  settled(requestId: string): void;
}

/** What the directory needs of its process. */
export interface DirectoryOptions {
  readonly self: () => ProcessIdentity;
  readonly dataCenter: string;
  /** Keeper of the same host. */
  readonly localKeeper: string;
  readonly connector: KeeperConnector;
  readonly clock: Clock;
  readonly log: EventLog;
}

/**
 * The sessions with all keepers of the own data centre: the local one from the
 * settings, the others as membership names them.
 */
export class KeeperDirectory implements KeeperSessionListener {
  private readonly sessions = new Map<string, KeeperSession>();
  private readonly memberships = new Map<KeeperSession, Membership>();
  private inForce: ConfigurationInForce | undefined;

  constructor(
    private readonly options: DirectoryOptions,
    private readonly listener: DirectoryListener,
  ) {}

  /** Opens the session with the local keeper; the others follow. */
  start(): void {
    this.openSession(this.options.localKeeper);
  }

  /** The highest configuration version heard of. */
  get configuration(): ConfigurationInForce | undefined {
    return this.inForce;
  }

  /** The latest membership, the local keeper's where it is there. */
  get membership(): Membership | undefined {
    const local = this.sessions.get(this.options.localKeeper);
    const own = local === undefined ? undefined : this.memberships.get(local);
    return own ?? [...this.memberships.values()].at(-1);
  }

  /** Endpoints that any keeper of the data centre knows to be leaving. */
  leavingEndpoints(): ReadonlySet<string> {
    return new Set(
      [...this.memberships.values()].flatMap(
        membership => membership.leavingEndpoints,
      ),
    );
  }

  /** Addresses of all sessions that are open, with their keepers. */
  openSessions(): readonly KeeperSession[] {
    return [...this.sessions.values()].filter(
      session => session.keeper !== undefined,
    );
  }

  /** The open session with an incarnation. */
  sessionOf(incarnation: string): KeeperSession | undefined {
    return this.openSessions().find(
      session => session.keeper?.incarnation === incarnation,
    );
  }

  /**
   * The open session with the keeper that rendezvous hashing names among those
   * in reach. Hashing only chooses who is efficient; grants keep spend safe.
   */
  holderOf(organisation: string): KeeperSession | undefined {
    const open = this.openSessions();
    const live = open.filter(session => !this.isLeaving(session));
    const incarnations = (live.length > 0 ? live : open).flatMap(
      session => session.keeper?.incarnation ?? [],
    );
    const holder = chooseHolder(organisation, incarnations);
    return holder === undefined ? undefined : this.sessionOf(holder);
  }

  heard(session: KeeperSession, message: KeeperMessage): void {
    const {kind} = message;
    switch (kind.case) {
      case 'configuration':
        this.applyConfiguration(kind.value);
        return;
      case 'membership':
        this.memberships.set(session, kind.value);
        this.openNamedSessions(kind.value);
        this.listener.membershipChanged();
        return;
      case 'settleAnswer':
        this.listener.settled(kind.value.requestId);
        return;
      default:
        return;
    }
  }

  changed(session: KeeperSession): void {
    if (session.keeper === undefined) {
      this.memberships.delete(session);
    }
    this.listener.membershipChanged();
  }

  /** Says goodbye to every keeper and ends all sessions. */
  async close(): Promise<void> {
    const sessions = [...this.sessions.values()];
    for (const session of sessions) {
      session.send({kind: {case: 'goodbye', value: {}}});
    }
    await Promise.all(sessions.map(session => session.close()));
  }

  /**
   * A keeper that restarted, or was cut off, may know only an older version.
   * Taking it would revert what an operator published, so versions only rise.
   */
  private applyConfiguration(heard: ConfigurationInForce): void {
    if (heard.version <= (this.inForce?.version ?? 0)) {
      return;
    }
    this.inForce = heard;
    this.listener.configurationChanged(heard);
  }

  private isLeaving(session: KeeperSession): boolean {
    return [...this.memberships.values()].some(membership =>
      membership.keepers.some(
        member =>
          member.identity?.incarnation === session.keeper?.incarnation &&
          member.state === HostState.LEAVING,
      ),
    );
  }

  private openNamedSessions(membership: Membership): void {
    const named = new Set([this.options.localKeeper]);
    for (const {identity} of membership.keepers) {
      if (identity?.dataCenter === this.options.dataCenter) {
        named.add(identity.controlAddress);
        this.openSession(identity.controlAddress);
      }
    }
    this.closeUnnamedSessions(named);
  }

  /** A replaced host's address is never dialled for ever. */
  private closeUnnamedSessions(named: ReadonlySet<string>): void {
    for (const [address, session] of this.sessions) {
      if (!named.has(address) && session.keeper === undefined) {
        this.sessions.delete(address);
        void session.close();
      }
    }
  }

  private openSession(address: string): void {
    if (this.sessions.has(address)) {
      return;
    }
    const {self, connector, clock, log} = this.options;
    this.sessions.set(
      address,
      new KeeperSession(address, self, connector, clock, log, this),
    );
  }
}
