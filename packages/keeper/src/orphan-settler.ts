import {create} from '@bufbuild/protobuf';
import type {Clock, ModelEngineFactory} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';
import {
  BillSchema,
  Outcome,
  ServiceKind,
  type Bill,
  type Endpoint,
} from '@wisteriadeal/schema';

import type {ConfigurationReplica} from './configuration-replica.js';
import type {LedgerReplicas} from './ledger-replicas.js';
import type {MembershipTable} from './membership-table.js';
import {
  RequestPhase,
  type RequestRegistry,
  type TrackedRequest,
} from './request-registry.js';
import type {SettlementService} from './settlement-service.js';

/** Maximum time to wait for an engine's usage report. */
const ENGINE_TIMEOUT_MILLISECONDS = 3_000;
/** Delay between two queries to an engine that is unreachable. */
const ENGINE_RETRY_DELAY_MILLISECONDS = 5_000;
/**
 * Maximum time that a request stays reserved while its router's data centre or
 * its engine is unreachable. Partitions between regions last up to an hour.
 */
const MAXIMUM_SILENCE_MILLISECONDS = 2 * 3_600_000;

/**
 * Settles requests whose router was lost and whose caller did not retry. If the
 * engine reports the usage, the request is charged for it. If it does not know
 * the request, or stays unreachable for longer than a partition lasts, the bound
 * is charged and the bill is marked unconfirmed, so that the books neither omit
 * usage nor present an estimate as measured.
 */
export class OrphanSettler {
  private readonly settlingRequests = new Set<string>();
  /** Earliest time of the next query to an engine that was unreachable. */
  private readonly nextQueryAt = new Map<string, number>();

  constructor(
    private readonly registry: RequestRegistry,
    private readonly settlements: SettlementService,
    private readonly membership: MembershipTable,
    private readonly replicas: LedgerReplicas,
    private readonly configuration: ConfigurationReplica,
    private readonly engines: ModelEngineFactory,
    private readonly orphanWaitMilliseconds: number,
    private readonly clock: Clock,
    private readonly eventLog: EventLog,
  ) {}

  /**
   * Marks requests of lost routers as orphaned, and settles those that have
   * waited long enough.
   */
  review(): void {
    for (const request of this.registry.inPhase(RequestPhase.Running)) {
      // Requests inherited from a lost holder may have no session here, so no
      // end of a session would mark them as orphaned.
      if (this.membership.liveRouter(request.router) === undefined) {
        this.registry.enterPhase(request, RequestPhase.Orphaned);
      }
    }
    for (const request of this.registry.inPhase(RequestPhase.Orphaned)) {
      if (
        this.isRouterLost(request) &&
        this.isQueryDue(request) &&
        !this.settlingRequests.has(request.requestId)
      ) {
        this.settlingRequests.add(request.requestId);
        void this.settle(request).finally(() => {
          this.settlingRequests.delete(request.requestId);
        });
      }
    }
  }

  private isQueryDue({requestId}: TrackedRequest): boolean {
    return (
      this.membership.isLeaving ||
      this.clock.monotonicMilliseconds() >=
        (this.nextQueryAt.get(requestId) ?? 0)
    );
  }

  /**
   * Whether the router of an orphaned request has been missing for long enough.
   *
   * A router that is not heard may run in a data centre that can't be reached.
   * It counts as lost only once keepers of its data centre have been reachable
   * for that long and none has reported it, or after a time that is longer than
   * a partition lasts.
   */
  private isRouterLost(request: TrackedRequest): boolean {
    const waited = this.clock.monotonicMilliseconds() - request.phaseEnteredAt;
    if (
      waited <= this.orphanWaitMilliseconds ||
      this.membership.liveRouter(request.router) !== undefined
    ) {
      return false;
    }
    return (
      request.router === '' ||
      waited > MAXIMUM_SILENCE_MILLISECONDS ||
      this.membership.knowsRoutersOf(
        this.dataCenterOf(request),
        Math.min(waited, this.orphanWaitMilliseconds),
      )
    );
  }

  /** The data centre of the router, which is that of the grant's holder. */
  private dataCenterOf({organisation, grantId}: TrackedRequest): string {
    const grant = this.replicas
      .ledgerOf(organisation)
      .grant(organisation, grantId);
    return grant === undefined || grant.dataCenter === ''
      ? this.membership.self.dataCenter
      : grant.dataCenter;
  }

  private async settle(request: TrackedRequest): Promise<void> {
    const bill = await this.billFromEngine(request);
    if (bill === undefined) {
      this.delayNextQuery(request);
      return;
    }
    this.nextQueryAt.delete(request.requestId);
    if (request.phase !== RequestPhase.Orphaned) {
      return;
    }
    this.eventLog.info('orphaned request settled', {
      request: request.requestId,
      organisation: request.organisation,
      tokens: bill.tokens,
      confirmed: bill.confirmed,
    });
    if (!(await this.settlements.settleBill(request.organisation, bill))) {
      this.delayNextQuery(request);
    }
  }

  private delayNextQuery({requestId}: TrackedRequest): void {
    this.nextQueryAt.set(
      requestId,
      this.clock.monotonicMilliseconds() + ENGINE_RETRY_DELAY_MILLISECONDS,
    );
  }

  /**
   * Returns the bill of an orphaned request; undefined if its engine is
   * unreachable and has to be asked again later.
   */
  private async billFromEngine(
    request: TrackedRequest,
  ): Promise<Bill | undefined> {
    const endpoint = this.modelEndpoint(request.attempt.endpoint);
    if (endpoint === undefined) {
      return unconfirmedBill(request);
    }
    const engine = this.engines.connect(endpoint.name, endpoint.address);
    try {
      // Cancelling also frees the engine's slot, as no caller waits for the
      // answer.
      const status = await engine.cancel(
        request.attempt.attemptId,
        AbortSignal.timeout(ENGINE_TIMEOUT_MILLISECONDS),
      );
      return status.known
        ? confirmedBill(
            request,
            status.usage.promptTokens,
            status.usage.completionTokens,
          )
        : unconfirmedBill(request);
    } catch (error) {
      this.eventLog.debug('engine usage query failed', {
        request: request.requestId,
        peer: endpoint.name,
        reason: String(error),
      });
      return this.mayWaitForEngine(request)
        ? undefined
        : unconfirmedBill(request);
    } finally {
      await engine.close();
    }
  }

  /**
   * Whether a request may stay reserved because its engine is unreachable. A
   * keeper that is leaving settles its requests before it stops.
   */
  private mayWaitForEngine({phaseEnteredAt}: TrackedRequest): boolean {
    const waited = this.clock.monotonicMilliseconds() - phaseEnteredAt;
    return !this.membership.isLeaving && waited <= MAXIMUM_SILENCE_MILLISECONDS;
  }

  private modelEndpoint(name: string): Endpoint | undefined {
    const {configuration} = this.configuration;
    const endpoint = configuration?.endpoints.find(
      candidate => candidate.name === name,
    );
    const service = configuration?.services.find(
      candidate => candidate.name === endpoint?.service,
    );
    return service?.kind === ServiceKind.MODEL ? endpoint : undefined;
  }
}

function confirmedBill(
  request: TrackedRequest,
  promptTokens: number,
  completionTokens: number,
): Bill {
  return create(BillSchema, {
    ...sharedFields(request),
    tokens: Math.min(request.boundTokens, promptTokens + completionTokens),
    promptTokens,
    completionTokens,
    confirmed: true,
    outcome: Outcome.CANCELLED,
  });
}

function unconfirmedBill(request: TrackedRequest): Bill {
  return create(BillSchema, {
    ...sharedFields(request),
    tokens: request.boundTokens,
    confirmed: false,
    outcome: Outcome.UNKNOWN,
  });
}

function sharedFields(request: TrackedRequest) {
  return {
    requestId: request.requestId,
    grantId: request.grantId,
    attemptId: request.attempt.attemptId,
    endpoint: request.attempt.endpoint,
    caller: request.caller,
  };
}
