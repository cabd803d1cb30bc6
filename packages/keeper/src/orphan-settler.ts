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
import type {MembershipTable} from './membership-table.js';
import {
  RequestPhase,
  type RequestRegistry,
  type TrackedRequest,
} from './request-registry.js';
import type {SettlementService} from './settlement-service.js';

/** Maximum time to wait for an engine's usage report. */
const ENGINE_TIMEOUT_MILLISECONDS = 3_000;

/**
 * Settles requests whose router was lost and whose caller did not retry. If the
 * engine reports the usage, the request is charged for it. Otherwise the bound
 * is charged and the bill is marked unconfirmed, so that the books neither omit
 * usage nor present an estimate as measured.
 */
export class OrphanSettler {
  private readonly settlingRequests = new Set<string>();

  constructor(
    private readonly registry: RequestRegistry,
    private readonly settlements: SettlementService,
    private readonly membership: MembershipTable,
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
    const now = this.clock.monotonicMilliseconds();
    for (const request of this.registry.inPhase(RequestPhase.Orphaned)) {
      if (
        now - request.phaseEnteredAt > this.orphanWaitMilliseconds &&
        !this.settlingRequests.has(request.requestId)
      ) {
        this.settlingRequests.add(request.requestId);
        void this.settle(request).finally(() => {
          this.settlingRequests.delete(request.requestId);
        });
      }
    }
  }

  private async settle(request: TrackedRequest): Promise<void> {
    const bill = await this.billFromEngine(request);
    if (request.phase !== RequestPhase.Orphaned) {
      return;
    }
    this.eventLog.info('orphaned request settled', {
      request: request.requestId,
      organisation: request.organisation,
      tokens: bill.tokens,
      confirmed: bill.confirmed,
    });
    await this.settlements.settleBill(request.organisation, bill);
  }

  private async billFromEngine(request: TrackedRequest): Promise<Bill> {
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
      return unconfirmedBill(request);
    } finally {
      await engine.close();
    }
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
