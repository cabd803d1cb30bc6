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

import type {KeeperConnector} from './keeper-connector.js';
import {KeeperSession, type KeeperSessionListener} from './keeper-session.js';

/** Listener for changes that any of the sessions reports. */
export interface KeeperDirectoryListener {
  configurationChanged(inForce: ConfigurationInForce): void;
  membershipChanged(): void;
  settlementAcknowledged(requestId: string): void;
}

/** Dependencies and settings of the directory. */
export interface KeeperDirectoryOptions {
  readonly identity: () => ProcessIdentity;
  readonly dataCenter: string;
  /** `IP:port` of the keeper on the same host. */
  readonly localKeeper: string;
  readonly connector: KeeperConnector;
  readonly clock: Clock;
  readonly log: EventLog;
}

/**
 * The sessions with all keepers of the router's data centre. The local keeper
 * comes from the settings, the others from the membership.
 */
export class KeeperDirectory implements KeeperSessionListener {
  private readonly sessions = new Map<string, KeeperSession>();
  private readonly memberships = new Map<KeeperSession, Membership>();
  private readonly sessionListeners: (() => void)[] = [];
  private inForce: ConfigurationInForce | undefined;

  constructor(
    private readonly options: KeeperDirectoryOptions,
    private readonly listener: KeeperDirectoryListener,
  ) {}

  /** Opens the session with the local keeper; its membership names the others. */
  start(): void {
    this.openSession(this.options.localKeeper);
  }

  /** Adds a listener that is called when a session has opened or was lost. */
  addSessionListener(listener: () => void): void {
    this.sessionListeners.push(listener);
  }

  /** The configuration with the highest version received so far. */
  get configuration(): ConfigurationInForce | undefined {
    return this.inForce;
  }

  /** The latest membership of the local keeper, or else of another keeper. */
  get membership(): Membership | undefined {
    const local = this.sessions.get(this.options.localKeeper);
    const own = local === undefined ? undefined : this.memberships.get(local);
    return own ?? [...this.memberships.values()].at(-1);
  }

  /** Endpoints that any keeper of the data centre reports as leaving. */
  leavingEndpoints(): ReadonlySet<string> {
    return new Set(
      [...this.memberships.values()].flatMap(
        membership => membership.leavingEndpoints,
      ),
    );
  }

  /** Returns all open sessions. */
  openSessions(): readonly KeeperSession[] {
    return [...this.sessions.values()].filter(
      session => session.keeper !== undefined,
    );
  }

  /** Returns the open session with a keeper incarnation. */
  sessionOf(incarnation: string): KeeperSession | undefined {
    return this.openSessions().find(
      session => session.keeper?.incarnation === incarnation,
    );
  }

  /**
   * Returns the session of the keeper that rendezvous hashing selects among the
   * reachable ones; leaving keepers only if there are no others. The selection
   * only affects efficiency: the grants limit spending whichever keeper is used.
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

  messageReceived(session: KeeperSession, message: KeeperMessage): void {
    const {kind} = message;
    switch (kind.case) {
      case 'configuration':
        this.applyConfiguration(kind.value);
        return;
      case 'membership':
        this.memberships.set(session, kind.value);
        this.openMemberSessions(kind.value);
        this.listener.membershipChanged();
        return;
      case 'settleAnswer':
        this.listener.settlementAcknowledged(kind.value.requestId);
        return;
      default:
        return;
    }
  }

  stateChanged(session: KeeperSession): void {
    if (session.keeper === undefined) {
      this.memberships.delete(session);
    }
    this.listener.membershipChanged();
    this.sessionListeners.forEach(listener => {
      listener();
    });
  }

  /** Sends a goodbye to every keeper and closes all sessions. */
  async close(): Promise<void> {
    const sessions = [...this.sessions.values()];
    for (const session of sessions) {
      session.send({kind: {case: 'goodbye', value: {}}});
    }
    await Promise.all(sessions.map(session => session.close()));
  }

  /**
   * Applies a configuration if its version is higher than the current one. A
   * keeper that restarted or was partitioned may send an older version, which
   * would revert what an operator published.
   */
  private applyConfiguration(received: ConfigurationInForce): void {
    if (received.version <= (this.inForce?.version ?? 0)) {
      return;
    }
    this.inForce = received;
    this.listener.configurationChanged(received);
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

  private openMemberSessions(membership: Membership): void {
    const memberAddresses = new Set([this.options.localKeeper]);
    for (const {identity} of membership.keepers) {
      if (identity?.dataCenter === this.options.dataCenter) {
        memberAddresses.add(identity.controlAddress);
        this.openSession(identity.controlAddress);
      }
    }
    this.closeFormerMemberSessions(memberAddresses);
  }

  /**
   * Closes sessions without a connection whose address left the membership, so a
   * replaced host's address is not dialled indefinitely.
   */
  private closeFormerMemberSessions(
    memberAddresses: ReadonlySet<string>,
  ): void {
    for (const [address, session] of this.sessions) {
      if (!memberAddresses.has(address) && session.keeper === undefined) {
        this.sessions.delete(address);
        void session.close();
      }
    }
  }

  private openSession(address: string): void {
    if (this.sessions.has(address)) {
      return;
    }
    const {identity, connector, clock, log} = this.options;
    this.sessions.set(
      address,
      new KeeperSession(address, identity, connector, clock, log, this),
    );
  }
}
