import {
  ConfigurationTrust,
  SuspectVerdict,
  type ResendLimits,
  type StopAdmission,
  type StreamOrigin,
} from '@wisteriadeal/decisions';
import type {EventLog} from '@wisteriadeal/runtime';
import {BillOutcome} from '@wisteriadeal/schema';

import type {BillWriter} from './bill-writer.js';
import {budgetAnswer} from './budget-answer.js';
import type {BudgetHolder} from './budget-holder.js';
import {
  BodyEndedError,
  BodyTooLargeError,
  type CallerExchange,
} from './caller-exchange.js';
import {
  findRoute,
  pickService,
  RouteKind,
  type FleetConfiguration,
  type Organisation,
  type Route,
} from './configuration.js';
import type {ConfigurationState} from './configuration-state.js';
import type {GatewayMetrics} from './gateway-metrics.js';
import type {LoadReport} from './load-report.js';
import {
  failureReply,
  notExecutedReply,
  LocalReplyReason,
  MEMORY_FULL_REPLY,
  STOPPING_REPLY,
  type LocalReply,
} from './local-reply.js';
import {refuseWithoutConfiguration, withoutDenial} from './no-configuration.js';
import {
  RequestStage,
  RequestWithdrawnError,
  type OpenRequests,
} from './open-requests/index.js';
import {RequestBudget} from './request-budget.js';
import type {ReserveResult, TokenRequest} from './organisation-budget.js';
import {
  isRepeatable,
  maximumTokens,
  type RequestContext,
} from './request-context.js';
import {RequestIdentity} from './crashes/index.js';
import {RequestRecord, UndeliveredCharge} from './request-record.js';
import {describeRequest} from './request-report.js';
import {RequestRun, type RunParts} from './request-run.js';
import {ServiceStates} from './service-states.js';
import type {StartGate} from './start-gate.js';
import type {StoreHealth} from './store-health.js';
import type {StreamStarts} from './stream-origins/index.js';

/**
 * The route and the organisation of an admitted request, by the configuration
 * in force.
 */
interface Admission {
  readonly route: Route;
  readonly organisation: Organisation | undefined;
}

/**
 * Time limits of an answer, counted from the request's first byte,
 * milliseconds.
 */
export interface AnswerDeadlines {
  /** The answer should have started by then. */
  readonly objectiveMilliseconds: number;
  /** The caller or the route stops waiting for the answer. */
  readonly limitMilliseconds: number;
}

/** Estimated time to the first event of a stream, and per token after it. */
const TYPICAL_STREAM_START_MILLISECONDS = 1_000;
const TYPICAL_TOKEN_MILLISECONDS = 12;
/** A configuration takes effect within this time. */
const CONFIGURATION_RETRY_AFTER_MILLISECONDS = 500;

/** Authenticates and routes each request, reserves its tokens and runs it. */
export class RequestHandler {
  private readonly services: ServiceStates;
  private readonly running = new Map<RequestRun, Promise<void>>();

  constructor(
    private readonly configuration: ConfigurationState,
    private readonly budgets: BudgetHolder,
    private readonly health: StoreHealth,
    private readonly bills: BillWriter,
    private readonly parts: RunParts,
    private readonly requests: OpenRequests,
    resendLimits: ResendLimits,
    private undeliveredCharge: UndeliveredCharge,
    private readonly metrics: GatewayMetrics,
    private readonly events: EventLog,
    private readonly gate: StartGate,
    private readonly streams: StreamStarts,
    private readonly randomFraction: () => number,
  ) {
    this.services = new ServiceStates(resendLimits);
  }

  /** Starts refusing, as not run, requests that `stop` does not admit. */
  beginStop(stop: StopAdmission): void {
    this.parts.admissions.beginStop();
    this.requests.beginStop(stop);
  }

  /**
   * Ends all requests: those that were not sent are refused as not run, the others
   * end with what they have so far.
   */
  cut(): void {
    this.requests.cut();
    this.gate.openNow();
    for (const run of this.running.keys()) {
      run.cut();
    }
  }

  /** Resolves when the requests that run now are charged and billed. */
  async settled(): Promise<void> {
    await Promise.allSettled(this.running.values());
  }

  /** Replaces the limits on resends; past resends count on. */
  setResendLimits(limits: ResendLimits): void {
    this.services.setResendLimits(limits);
  }

  /** Sets how requests that begin from now on are charged if undelivered. */
  setUndeliveredCharge(charge: UndeliveredCharge): void {
    this.undeliveredCharge = charge;
  }

  /**
   * Time limits of a request's answer; undefined if no route matches or no
   * configuration is in force.
   */
  answerDeadlines(caller: CallerExchange): AnswerDeadlines | undefined {
    const {headers, path} = caller;
    const configuration = this.configuration.current;
    const route =
      configuration === undefined
        ? undefined
        : findRoute(configuration, headers.host, path);
    return route === undefined
      ? undefined
      : {
          objectiveMilliseconds: route.goalMilliseconds,
          limitMilliseconds: limitOf(caller, route),
        };
  }

  /** Serves one request to its end. The promise never rejects. */
  async handle(caller: CallerExchange, load: LoadReport): Promise<void> {
    const record = new RequestRecord();
    try {
      const refusal = await this.serve(caller, record);
      if (refusal !== undefined) {
        this.refuse(caller, record, this.trustedReply(caller, refusal));
      }
    } catch (error) {
      this.handleError(caller, record, error);
    }
    if (record.outcome === 'caller-left' && record.attempts.length === 0) {
      this.metrics.callerLeftUnserved();
      load.callerLeft(caller.headers.attemptId);
    }
    this.report(caller, record);
  }

  /** Records that a caller left before its request was started. */
  callerLeftBeforeStart(caller: CallerExchange, load: LoadReport): void {
    const record = new RequestRecord();
    record.outcome = 'caller-left';
    this.metrics.callerLeftUnserved();
    if (load.callerLeft(caller.headers.attemptId)) {
      this.report(caller, record);
    } else {
      this.metrics.requestEnded(record, this.ageOf(caller));
    }
  }

  /**
   * Refuses a request that was not started. It gets no log line of its own; the
   * load report counts it.
   */
  refuseBeforeStart(
    caller: CallerExchange,
    load: LoadReport,
    retryAfterMilliseconds: number,
  ): void {
    const record = new RequestRecord();
    this.refuse(
      caller,
      record,
      notExecutedReply(LocalReplyReason.HostBehind, retryAfterMilliseconds),
    );
    this.metrics.requestEnded(record, this.ageOf(caller));
    load.requestRefused(caller.headers.attemptId);
  }

  /** The reply, unless it denies by a configuration that may have been replaced. */
  private trustedReply(caller: CallerExchange, reply: LocalReply): LocalReply {
    return this.configuration.trust === ConfigurationTrust.Current
      ? reply
      : withoutDenial(caller, reply, this.randomFraction());
  }

  private async serve(
    caller: CallerExchange,
    record: RequestRecord,
  ): Promise<LocalReply | undefined> {
    const {progress} = caller;
    await this.gate.whenOpen();
    const configuration = this.configuration.current;
    if (configuration === undefined) {
      return progress.waitFor(
        RequestStage.Body,
        refuseWithoutConfiguration(
          caller,
          LocalReplyReason.NoConfiguration,
          this.randomFraction(),
        ),
      );
    }
    if (this.configuration.trust === ConfigurationTrust.Outdated) {
      return progress.waitFor(
        RequestStage.Body,
        refuseWithoutConfiguration(
          caller,
          LocalReplyReason.ConfigurationOutdated,
          this.randomFraction(),
        ),
      );
    }
    if (caller.headerBytes > configuration.limits.headerBytes) {
      caller.disableKeepAlive();
      return failureReply(431, LocalReplyReason.HeadersTooLarge);
    }
    const body = await progress.waitFor(
      RequestStage.Body,
      caller.readBody(configuration.limits.bodyBytes),
    );
    await caller.waitForCloseDetection();
    const route = findRoute(configuration, caller.headers.host, caller.path);
    const takenUp = await progress.waitFor(
      RequestStage.TakeUp,
      this.streams.find(caller, route),
    );
    if (caller.disconnectSignal.aborted) {
      record.outcome = 'caller-left';
      return undefined;
    }
    // A newer version may have come into force in the meantime.
    const inForce = this.configuration.current ?? configuration;
    const admitted = admit(caller, inForce);
    if ('status' in admitted) {
      return admitted;
    }
    progress.duration = {
      deadlineAt: deadlineOf(caller, admitted.route),
      typicalMilliseconds: typicalMillisecondsOf(caller, admitted.route),
    };
    if (!this.requests.mayBeSent(caller)) {
      return STOPPING_REPLY;
    }
    const origin = this.streams.begin(caller, admitted.route, takenUp);
    if (origin !== undefined && 'status' in origin) {
      return origin;
    }
    if (origin !== undefined) {
      record.lastEventId = eventNumberOf(caller.headers.lastEventId);
    }
    const context = this.contextOf(caller, body, inForce, admitted, origin);
    return context === undefined
      ? notExecutedReply(
          LocalReplyReason.NoEndpoint,
          CONFIGURATION_RETRY_AFTER_MILLISECONDS,
        )
      : this.runUnlessSuspect(context, record);
  }

  /** Refuses a request that may crash one more endpoint. */
  private async runUnlessSuspect(
    context: RequestContext,
    record: RequestRecord,
  ): Promise<LocalReply | undefined> {
    const {caller, identity, service} = context;
    const {suspects, directory} = this.parts;
    const decision = await caller.progress.waitFor(
      RequestStage.Suspects,
      suspects.admit(
        identity,
        () => directory.openEndpoints(service.name).length > 1,
      ),
    );
    if (decision.verdict === SuspectVerdict.Refuse) {
      record.identity = identity.digest;
      record.suspicion = decision;
      return notExecutedReply(
        LocalReplyReason.CrashSuspect,
        decision.waitMilliseconds,
      );
    }
    const isTry = decision.verdict === SuspectVerdict.Try;
    const refusal = await this.runWithinBudget({...context, isTry}, record);
    if (record.outcome === 'answered') {
      suspects.requestAnswered(identity, record);
    }
    return refusal;
  }

  private contextOf(
    caller: CallerExchange,
    body: Buffer | undefined,
    configuration: FleetConfiguration,
    {route, organisation}: Admission,
    origin: StreamOrigin | undefined,
  ): RequestContext | undefined {
    const name = origin?.service ?? pickService(route, this.randomFraction());
    const service = configuration.services.get(name ?? '');
    if (service === undefined) {
      return undefined;
    }
    const {resends, firstEventLatency, bufferedAnswerLatency} =
      this.services.stateOf(service.name);
    resends.recordRequest(this.parts.clock.monotonicMilliseconds());
    const deadlineAt = deadlineOf(caller, route);
    return {
      caller,
      body,
      identity: new RequestIdentity(caller, body),
      isTry: false,
      binding: this.streams.bindingOf(caller, origin, deadlineAt, route),
      route,
      service,
      organisation,
      configurationVersion: configuration.version,
      deadlineAt,
      mayBegin: () => this.requests.mayBeSent(caller, isRepeatable(route)),
      resends,
      firstEventLatency,
      bufferedAnswerLatency,
    };
  }

  private async runWithinBudget(
    context: RequestContext,
    record: RequestRecord,
  ): Promise<LocalReply | undefined> {
    const {caller, organisation} = context;
    const bound = maximumTokens(caller);
    record.organisation = organisation?.name;
    // Settings may change while the request runs; it keeps the charge it
    // started with.
    const charge = this.undeliveredCharge;
    const reserved = await this.reserve(caller, organisation, {
      bound,
      mayPromise: charge === UndeliveredCharge.Nothing,
      remainingMilliseconds:
        context.deadlineAt - this.parts.clock.monotonicMilliseconds(),
    });
    if ('refusal' in reserved) {
      this.events.info('request refused for budget', {
        request: caller.headers.attemptId,
        organisation: organisation?.name,
        bound,
        refusal: reserved.refusal,
        configuration: context.configurationVersion,
        ...this.budgets.describe(organisation?.name ?? ''),
      });
      const now = this.parts.clock.monotonicMilliseconds();
      return budgetAnswer(
        reserved.refusal,
        this.health.unavailableMilliseconds(now),
      );
    }
    const budget = new RequestBudget(
      this.budgets.reservations,
      reserved.reservation,
    );
    const run = new RequestRun(this.parts, context, budget, record);
    const ended = this.runAndSettle(run, context, budget, record, charge);
    this.running.set(run, ended);
    try {
      await ended;
    } finally {
      this.running.delete(run);
    }
    return undefined;
  }

  /**
   * Waits for a request's tokens.
   *
   * @throws RequestWithdrawnError if the request must not be sent any more; its
   *     tokens are released.
   */
  private async reserve(
    caller: CallerExchange,
    organisation: Organisation | undefined,
    wanted: TokenRequest,
  ): Promise<ReserveResult> {
    const {reservations} = this.budgets;
    const {progress} = caller;
    const reserving = reservations.reserve(organisation?.name ?? '', wanted);
    try {
      return await progress.waitFor(RequestStage.Tokens, reserving);
    } catch (error) {
      if (error instanceof RequestWithdrawnError) {
        void this.release(reserving);
      }
      throw error;
    }
  }

  /** Releases tokens that come when their request has been withdrawn. */
  private async release(reserving: Promise<ReserveResult>): Promise<void> {
    try {
      const reserved = await reserving;
      if ('reservation' in reserved) {
        this.budgets.reservations.settle(reserved.reservation, 0);
      }
    } catch (error) {
      this.events.error('tokens of a withdrawn request not released', {
        reason: String(error),
      });
    }
  }

  private async runAndSettle(
    run: RequestRun,
    context: RequestContext,
    budget: RequestBudget,
    record: RequestRecord,
    charge: UndeliveredCharge,
  ): Promise<void> {
    const {promptTokens, maximumOutputTokens} = context.caller.headers;
    try {
      await run.run();
    } finally {
      const used = record.usedTokens(
        promptTokens,
        maximumOutputTokens,
        context.service.tokensPerEvent,
        charge,
      );
      record.chargedTokens = used;
      record.tokenWaitMilliseconds = budget.waitedMilliseconds;
      budget.settle(used);
      this.bill(context, record, used);
    }
  }

  private bill(
    context: RequestContext,
    record: RequestRecord,
    used: number,
  ): void {
    const {caller, organisation} = context;
    if (!record.mayHaveRun || organisation === undefined) {
      return;
    }
    const inputTokens = used === 0 ? 0 : caller.headers.promptTokens;
    this.bills.add({
      requestId: caller.headers.attemptId ?? '',
      organisation: organisation.name,
      inputTokens,
      outputTokens: used - inputTokens,
      endpoint: record.endpoint,
      outcome: billOutcome(record),
    });
  }

  private refuse(
    caller: CallerExchange,
    record: RequestRecord,
    reply: LocalReply,
  ): void {
    caller.sendLocalReply(reply);
    record.status = reply.status;
    record.outcome = `own: ${reply.reason}`;
  }

  private handleError(
    caller: CallerExchange,
    record: RequestRecord,
    error: unknown,
  ): void {
    if (caller.disconnectSignal.aborted) {
      record.outcome = 'caller-left';
      return;
    }
    if (error instanceof RequestWithdrawnError) {
      caller.keepWhileReceiving();
      this.refuse(caller, record, STOPPING_REPLY);
      return;
    }
    if (error instanceof BodyEndedError) {
      caller.keepWhileReceiving();
      this.refuse(caller, record, MEMORY_FULL_REPLY);
      return;
    }
    if (error instanceof BodyTooLargeError) {
      caller.disableKeepAlive();
      this.refuse(
        caller,
        record,
        failureReply(413, LocalReplyReason.BodyTooLarge),
      );
      return;
    }
    this.events.error('internal error in request', {
      request: caller.headers.attemptId,
      reason: error instanceof Error ? (error.stack ?? '') : String(error),
    });
    if (caller.isAnswering) {
      caller.destroyConnection();
      return;
    }
    this.refuse(caller, record, failureReply(500, LocalReplyReason.Internal));
  }

  private ageOf(caller: CallerExchange): number {
    return this.parts.clock.monotonicMilliseconds() - caller.arrivedAt;
  }

  private report(caller: CallerExchange, record: RequestRecord): void {
    const durationMilliseconds = this.ageOf(caller);
    this.metrics.requestEnded(record, durationMilliseconds);
    this.events.info(
      'request',
      describeRequest(caller, record, {
        configuration: this.configuration.current?.version,
        durationMilliseconds,
      }),
    );
  }
}

/** Deadline of a request on the monotonic clock, milliseconds. */
function deadlineOf(caller: CallerExchange, route: Route): number {
  return caller.estimatedArrivalAt + limitOf(caller, route);
}

/** Typical duration of a request, milliseconds; undefined if it is not known. */
function typicalMillisecondsOf(
  {headers}: CallerExchange,
  {kind}: Route,
): number | undefined {
  return kind === RouteKind.Streaming
    ? TYPICAL_STREAM_START_MILLISECONDS +
        headers.maximumOutputTokens * TYPICAL_TOKEN_MILLISECONDS
    : undefined;
}

function limitOf({headers}: CallerExchange, route: Route): number {
  const {timeoutMilliseconds} = route;
  return Math.min(
    headers.deadlineMilliseconds ?? timeoutMilliseconds,
    timeoutMilliseconds,
  );
}

function admit(
  caller: CallerExchange,
  configuration: FleetConfiguration,
): Admission | LocalReply {
  const {host, key} = caller.headers;
  const route = findRoute(configuration, host, caller.path);
  if (route === undefined) {
    return failureReply(404, LocalReplyReason.NoRoute);
  }
  const organisation = configuration.organisationOfKey.get(key ?? '');
  const needsKey = configuration.organisations.length > 0 && !route.isPublic;
  if (needsKey && organisation === undefined) {
    return failureReply(401, LocalReplyReason.NoKey);
  }
  return {route, organisation};
}

function billOutcome(record: RequestRecord): BillOutcome {
  if (record.outcome === 'answered') {
    return BillOutcome.ANSWERED;
  }
  return record.eventsDelivered > 0 ? BillOutcome.CUT : BillOutcome.UNANSWERED;
}

/** An event's identifier if events can be counted from it. */
function eventNumberOf(eventId: string | undefined): string | undefined {
  return eventId !== undefined && /^\d+$/.test(eventId) ? eventId : undefined;
}
