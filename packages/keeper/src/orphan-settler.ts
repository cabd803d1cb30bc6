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

/** An engine that does not answer within this time can't be asked. */
const ASK_LIMIT_MILLISECONDS = 3_000;

/**
 * Settles requests whose router is lost and whose caller did not come back: an
 * engine that can be asked tells the real usage; where nobody can tell, the
 * bound is charged and the bill is marked unconfirmed, so that the books stay
 * honest in both directions.
 */
export class OrphanSettler {
  private readonly settling = new Set<string>();

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

  /** Looks for requests to settle. */
  review(): void {
    for (const request of this.registry.inPhase(RequestPhase.Running)) {
      // Inherited requests have no session here whose end would tell.
      if (this.membership.router(request.router) === undefined) {
        this.registry.enter(request, RequestPhase.Orphaned);
      }
    }
    const now = this.clock.monotonicMilliseconds();
    for (const request of this.registry.inPhase(RequestPhase.Orphaned)) {
      if (
        now - request.since > this.orphanWaitMilliseconds &&
        !this.settling.has(request.requestId)
      ) {
        this.settling.add(request.requestId);
        void this.settle(request).finally(() => {
          this.settling.delete(request.requestId);
        });
      }
    }
  }

  private async settle(request: TrackedRequest): Promise<void> {
    const bill = await this.askEngine(request);
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

  private async askEngine(request: TrackedRequest): Promise<Bill> {
    const endpoint = this.engineOf(request.attempt.endpoint);
    if (endpoint === undefined) {
      return unconfirmedBill(request);
    }
    const engine = this.engines.connect(endpoint.name, endpoint.address);
    try {
      // Cancelling also frees the slot of work that nobody waits for.
      const status = await engine.cancel(
        request.attempt.attemptId,
        AbortSignal.timeout(ASK_LIMIT_MILLISECONDS),
      );
      return status.known
        ? confirmedBill(
            request,
            status.usage.promptTokens,
            status.usage.completionTokens,
          )
        : unconfirmedBill(request);
    } catch (error) {
      this.eventLog.debug('engine could not be asked', {
        request: request.requestId,
        peer: endpoint.name,
        reason: String(error),
      });
      return unconfirmedBill(request);
    } finally {
      await engine.close();
    }
  }

  private engineOf(name: string): Endpoint | undefined {
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
