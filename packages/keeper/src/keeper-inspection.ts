import {toJson} from '@bufbuild/protobuf';
import type {WitnessBook} from '@wisteriadeal/ledger';
import {Inspectable, type JsonValue} from '@wisteriadeal/runtime';
import {
  BillSchema,
  GrantStateSchema,
  HostState,
  Outcome,
} from '@wisteriadeal/schema';

import type {BillObserver} from './bill-observer.js';
import type {ConfigurationReplica} from './configuration-replica.js';
import type {GrantManager} from './grant-manager.js';
import type {LedgerAppender} from './ledger-appender.js';
import type {LedgerReplicas} from './ledger-replicas.js';
import type {MembershipTable} from './membership-table.js';
import type {PlatformHealth} from './platform-health.js';
import {RequestPhase, type RequestRegistry} from './request-registry.js';

/** Maximum number of bills listed in the explanation of a budget. */
const MAXIMUM_LISTED_BILLS = 200;

/** State dump and explanations of a keeper. */
export class KeeperInspection extends Inspectable {
  constructor(
    private readonly membership: MembershipTable,
    private readonly configuration: ConfigurationReplica,
    private readonly replicas: LedgerReplicas,
    private readonly health: PlatformHealth,
    private readonly appender: LedgerAppender,
    private readonly grantManager: GrantManager,
    private readonly witnessBook: WitnessBook,
    private readonly registry: RequestRegistry,
    private readonly bills: BillObserver,
  ) {
    super();
  }

  override dumpState(maximumItems: number): JsonValue {
    const {self, membership} = this.membership;
    return {
      process: 'keeper',
      incarnation: self.incarnation,
      dataCenter: self.dataCenter,
      configurationVersion: this.configuration.version,
      streams: this.replicas.all.slice(0, maximumItems).map(replica => ({
        stream: replica.stream,
        nextOffset: replica.nextOffset,
        logReachable: this.health.isReachable(replica.stream),
      })),
      pendingEntries: this.appender.pendingEntries,
      keepers: membership.keepers.slice(0, maximumItems).map(keeper => ({
        incarnation: keeper.identity?.incarnation ?? '',
        reachable: keeper.reachable,
        leaving: keeper.state === HostState.LEAVING,
      })),
      routers: membership.routers
        .slice(0, maximumItems)
        .map(router => router.identity?.incarnation ?? ''),
      grants: this.heldGrants().slice(0, maximumItems),
      witnessed: this.witnessBook
        .listGrants()
        .slice(0, maximumItems)
        .map(grant => ({
          grant: grant.grantId,
          organisation: grant.organisation,
          holder: grant.holder,
          fenced: grant.fenced,
          openReservations: grant.open.length,
        })),
      requests: this.requestCounts(),
    };
  }

  override explainRequest(requestId: string): JsonValue | undefined {
    const request = this.registry.get(requestId);
    const billed = this.bills.billOf(requestId);
    if (request === undefined && billed === undefined) {
      return undefined;
    }
    return {
      requestId,
      organisation: request?.organisation ?? billed?.organisation ?? '',
      knownBy: this.membership.self.incarnation,
      ...(request === undefined
        ? {}
        : {
            phase: request.phase,
            router: request.router,
            grant: request.grantId,
            boundTokens: request.boundTokens,
            attempt: request.attempt.attemptId,
            endpoint: request.attempt.endpoint,
            idempotent: request.idempotent,
          }),
      ...(billed === undefined
        ? {}
        : {bill: toJson(BillSchema, billed.bill) as JsonValue}),
    };
  }

  override explainBudget(organisation: string): JsonValue | undefined {
    const ledger = this.replicas.ledgerOf(organisation);
    const totals = ledger.totals(organisation);
    if (totals.creditedTokens === 0) {
      return undefined;
    }
    const bills = this.bills.billsOf(organisation);
    return {
      organisation,
      asOf: {
        stream: this.replicas.streamOf(organisation),
        offset: ledger.nextOffset,
        logReachable: this.health.isReachable(
          this.replicas.streamOf(organisation),
        ),
      },
      creditedTokens: totals.creditedTokens,
      unallocatedTokens: totals.unallocatedTokens,
      billedTokens: totals.billedTokens,
      grants: ledger
        .grants(organisation)
        .filter(grant => !grant.closed || grant.inherited.length > 0)
        .map(grant => ({
          ...(toJson(GrantStateSchema, grant) as object),
          remainingTokens: grant.tokens - grant.billedTokens,
          stranded: this.isStranded(grant.holder, grant.witness),
        })),
      heldHere: this.heldGrants().filter(
        grant => grant.organisation === organisation,
      ),
      unconfirmedBills: bills.filter(bill => !bill.confirmed).length,
      latestBills: bills.slice(-MAXIMUM_LISTED_BILLS).map(bill => ({
        requestId: bill.requestId,
        tokens: bill.tokens,
        confirmed: bill.confirmed,
        outcome: Outcome[bill.outcome],
        caller: bill.caller,
        endpoint: bill.endpoint,
      })),
    };
  }

  /**
   * Whether this keeper can reach neither the holder nor the witness of a
   * grant.
   */
  private isStranded(holder: string, witness: string): boolean {
    return (
      !this.membership.isReachable(holder) &&
      (witness === '' || !this.membership.isReachable(witness))
    );
  }

  private heldGrants() {
    return this.grantManager.all.flatMap(grants =>
      [...grants.holdings.values()].map(holding => ({
        grant: holding.grantId,
        organisation: grants.organisation,
        witness: holding.witness,
        fenced: holding.isFenced,
        closed: holding.isClosed,
        spendableTokens: holding.spendableTokens,
        reservedTokens: holding.book.openTokens,
        openRequests: holding.book.openReservations.map(
          open => open.reservation?.requestId ?? '',
        ),
      })),
    );
  }

  private requestCounts(): JsonValue {
    return Object.fromEntries(
      Object.values(RequestPhase).map(phase => [
        phase,
        this.registry.inPhase(phase).length,
      ]),
    );
  }
}
