import {chooseHolder, VerdictKind} from '@wisteriadeal/ledger';
import type {Clock} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';
import type {GrantState, OpenReservation} from '@wisteriadeal/schema';

import type {AbandonedBegins} from './abandoned-begins.js';
import type {LedgerAppender} from './ledger-appender.js';
import {ledgerEntry} from './ledger-entries.js';
import {LedgerListener, type FoldedEntry} from './ledger-replica.js';
import type {LedgerReplicas} from './ledger-replicas.js';
import type {MembershipTable} from './membership-table.js';
import {
  RequestPhase,
  type RequestRegistry,
  type TrackedRequest,
} from './request-registry.js';

/** Maximum time that a resumed request waits for its record. */
const TAKEOVER_TIMEOUT_MILLISECONDS = 3_000;

/**
 * The requests whose reservations stand in reclaimed grants.
 *
 * The log lists them, so they never lack an owner: the witness that reclaimed
 * the grant settles them, and if it is lost another keeper does. A reservation
 * that its router has reported as not run is released by the keeper that got
 * the report.
 */
export class InheritedRequests extends LedgerListener {
  private readonly submittedReleases = new Set<string>();

  constructor(
    private readonly membership: MembershipTable,
    private readonly replicas: LedgerReplicas,
    private readonly registry: RequestRegistry,
    private readonly abandonedBegins: AbandonedBegins,
    private readonly appender: LedgerAppender,
    private readonly clock: Clock,
    private readonly witnessTimeoutMilliseconds: number,
    private readonly eventLog: EventLog,
  ) {
    super();
  }

  override entryFolded({entry, verdict}: FoldedEntry): void {
    if (verdict.kind !== VerdictKind.Accepted) {
      return;
    }
    const {organisation, kind} = entry;
    if (kind.case === 'reclaim') {
      this.reviewGrant(organisation, kind.value.grantId);
    } else if (kind.case === 'inheritedRelease') {
      this.removeReleased(kind.value.requestId, kind.value.grantId);
    }
  }

  override checkpointRestored(): void {
    // The next review reads the restored state.
  }

  /** Takes over or releases the inherited requests of all closed grants. */
  review(): void {
    for (const {ledger} of this.replicas.all) {
      for (const organisation of ledger.organisationNames) {
        for (const grant of ledger.grants(organisation)) {
          if (grant.closed && grant.inherited.length > 0) {
            this.reviewInherited(organisation, grant);
          }
        }
      }
    }
  }

  /**
   * Records that a router resumes an inherited request. Otherwise a report of
   * the router before it would release the reservation, and another keeper that
   * takes over the request would not know the new one.
   *
   * @returns Whether it is recorded, or the request is not inherited.
   */
  async takeOver(
    {organisation, grantId, requestId}: TrackedRequest,
    router: string,
  ): Promise<boolean> {
    const ledger = this.replicas.ledgerOf(organisation);
    const grant = ledger.grant(organisation, grantId);
    if (grant?.closed !== true) {
      return true;
    }
    const open = grant.inherited.find(
      reservation => reservation.requestId === requestId,
    );
    if (
      open === undefined ||
      this.abandonedBegins.has(requestId, open.router, open.beginNumber)
    ) {
      return false;
    }
    const value = {
      grantId,
      requestId,
      fromRouter: open.router,
      fromBeginNumber: open.beginNumber,
      router,
    };
    const entryId = `takeover:${grantId}:${requestId}:${open.router}:${router}`;
    const timeoutController = new AbortController();
    const timeout = this.clock
      .sleep(TAKEOVER_TIMEOUT_MILLISECONDS, timeoutController.signal)
      .then(() => false);
    const recorded = this.appender
      .submit(
        ledgerEntry(entryId, organisation, {case: 'inheritedTakeover', value}),
      )
      .then(() => this.isRunBy(organisation, grantId, requestId, router));
    const isRecorded = await Promise.race([recorded, timeout]);
    timeoutController.abort();
    return isRecorded;
  }

  private isRunBy(
    organisation: string,
    grantId: string,
    requestId: string,
    router: string,
  ): boolean {
    const grant = this.replicas
      .ledgerOf(organisation)
      .grant(organisation, grantId);
    return (
      grant?.inherited.some(
        open => open.requestId === requestId && open.router === router,
      ) === true
    );
  }

  /**
   * Whether another keeper settles a request if this one stops: the log lists
   * its reservation, and there is such a keeper.
   */
  canBeTakenOver({organisation, grantId}: TrackedRequest): boolean {
    const grant = this.replicas
      .ledgerOf(organisation)
      .grant(organisation, grantId);
    return grant?.closed === true && this.membership.reachablePeers.length > 0;
  }

  private reviewGrant(organisation: string, grantId: string): void {
    const grant = this.replicas
      .ledgerOf(organisation)
      .grant(organisation, grantId);
    if (grant !== undefined) {
      this.reviewInherited(organisation, grant);
    }
  }

  private reviewInherited(organisation: string, grant: GrantState): void {
    const isOwner = this.isOwner(grant);
    for (const reservation of grant.inherited) {
      const {requestId, router, beginNumber} = reservation;
      if (this.abandonedBegins.has(requestId, router, beginNumber)) {
        this.release(organisation, grant.grantId, reservation);
      } else if (
        isOwner &&
        router !== '' &&
        this.registry.get(requestId) === undefined
      ) {
        this.adopt(organisation, grant.grantId, reservation);
      }
    }
  }

  /**
   * Whether this keeper settles the requests of a reclaimed grant. While the
   * witness that reclaimed it is not heard, that is one keeper of the grant's
   * data centre, or one of all if none of them is heard. If two keepers both
   * choose themselves, the first bill of each request counts.
   */
  private isOwner(grant: GrantState): boolean {
    const {self} = this.membership;
    if (grant.witness === self.incarnation) {
      return true;
    }
    if (
      this.membership.millisecondsSinceHeartbeat(grant.witness) <=
        this.witnessTimeoutMilliseconds ||
      this.membership.isLeaving
    ) {
      return false;
    }
    const keepers = [self, ...this.membership.reachablePeers];
    const local = keepers.filter(
      ({dataCenter}) => dataCenter === grant.dataCenter,
    );
    const candidates = local.length > 0 ? local : keepers;
    return (
      chooseHolder(
        grant.grantId,
        candidates.map(({incarnation}) => incarnation),
      ) === self.incarnation
    );
  }

  private adopt(
    organisation: string,
    grantId: string,
    reservation: OpenReservation,
  ): void {
    this.eventLog.info('request inherited', {
      request: reservation.requestId,
      organisation,
      grant: grantId,
      router: reservation.router,
      tokens: reservation.boundTokens,
    });
    this.registry.addInherited(organisation, grantId, reservation);
  }

  private release(
    organisation: string,
    grantId: string,
    {requestId, router, beginNumber}: OpenReservation,
  ): void {
    const entryId = `unrun:${grantId}:${requestId}:${router}:${beginNumber}`;
    if (this.submittedReleases.has(entryId)) {
      return;
    }
    this.submittedReleases.add(entryId);
    const value = {grantId, requestId, router, beginNumber};
    void this.appender
      .submit(
        ledgerEntry(entryId, organisation, {case: 'inheritedRelease', value}),
      )
      .then(({verdict}) => {
        this.submittedReleases.delete(entryId);
        this.eventLog.info('inherited reservation released', {
          request: requestId,
          organisation,
          grant: grantId,
          verdict: verdict.kind,
          reason: verdict.reason,
        });
      });
  }

  private removeReleased(requestId: string, grantId: string): void {
    const request = this.registry.get(requestId);
    if (
      request?.grantId === grantId &&
      request.phase !== RequestPhase.Settled
    ) {
      this.registry.remove(request);
    }
  }
}
