import {
  NetworkTimeout,
  type Clock,
  type HostLink,
} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';

import type {EngineAdmissions} from './admission/index.js';
import {AnswerRelay, AnswerResult} from './answer-relay.js';
import {AnswerTimeouts} from './answer-timeouts.js';
import {RouteKind} from './configuration.js';
import {
  RunContinuation,
  type EndpointLeavings,
  type RunCopies,
} from './continuation/index.js';
import {beginWork, describeBelief, fetchSource} from './balancing/index.js';
import type {CrashDetector, SuspectRegistry} from './crashes/index.js';
import type {Dialect} from './dialect.js';
import {EndpointAttempt} from './endpoint-attempt.js';
import {
  EndpointChooser,
  type ChosenEndpoint,
  type PlacementRules,
} from './endpoint-chooser.js';
import type {EvacuationState} from './evacuation/index.js';
import {MAXIMUM_SAFE_IDLE_MILLISECONDS} from './endpoint-connection-pool.js';
import type {EndpointDirectory} from './endpoint-directory.js';
import {
  ConnectionOrigin,
  EndpointExchange,
  FailureKind,
  isFailure,
  type AnswerHead,
  type ExchangeFailure,
} from './endpoint-exchange.js';
import {PathKind, type EndpointPath} from './endpoint-path.js';
import type {EndpointPlaces, HeldPlace} from './endpoint-places/index.js';
import {WithholdingReason} from './endpoint-statements/index.js';
import type {GatewayMetrics} from './gateway-metrics.js';
import type {InactivityMonitor} from './inactivity-monitor.js';
import {
  InputBreach,
  inputLog,
  type InputListener,
} from './input-limits/index.js';
import type {InputAccount} from './input-memory/index.js';
import type {KnownEndpoint} from './known-endpoint.js';
import {
  LocalReplyReason,
  OTHER_HOST_RETRY_AFTER_MILLISECONDS,
} from './local-reply.js';
import {RequestStage} from './open-requests/index.js';
import type {RequestBudget} from './request-budget.js';
import {RequestCompletion} from './request-completion.js';
import {
  isRepeatable,
  maximumTokens,
  type RequestContext,
} from './request-context.js';
import {RequestLifetime} from './request-lifetime.js';
import {requestPriority} from './request-priority.js';
import type {RequestRecord} from './request-record.js';
import {NextStep, RequestRetries} from './request-retries.js';
import type {ServicePaths} from './service-paths.js';
import {StandbyAttempt, type OpenAttempt} from './standby-attempt.js';

/** Dependencies shared by all request runs of a process. */
export interface RunParts {
  readonly dialect: Dialect;
  readonly paths: ServicePaths;
  readonly link: HostLink;
  readonly directory: EndpointDirectory;
  readonly crashes: CrashDetector;
  readonly suspects: SuspectRegistry;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly placement: PlacementRules;
  readonly evacuations: EvacuationState;
  readonly admissions: EngineAdmissions;
  readonly metrics: GatewayMetrics;
  readonly copies: RunCopies;
  readonly leavings: EndpointLeavings;
  readonly account: InputAccount;
  /** Number of hosts that share the resend budget; undefined if it is not known. */
  resendHosts(): number | undefined;
  /** Reads the list of endpoints at once. */
  readList(): Promise<boolean>;
}

/** Time in which a host finds out whether it has lost its paths to a service. */
const PATH_DECISION_MILLISECONDS = 100;
const PATH_POLL_MILLISECONDS = 10;
/** A request waits for a place for this part of its time, so that its caller can retry. */
const MAXIMUM_WAIT_SHARE = 0.5;
/**
 * Time for which an endpoint that filled this host's memory gets no requests; after it,
 * one request shows whether it still does, milliseconds.
 */
const REST_AFTER_FLOOD_MILLISECONDS = 1_000;

/** Sends one request to endpoints until it has a final answer. */
export class RequestRun {
  private readonly chooser: EndpointChooser;
  private readonly timeouts: AnswerTimeouts;
  private readonly lifetime: RequestLifetime;
  private readonly retries: RequestRetries;
  private readonly answers: AnswerRelay;
  private readonly completion: RequestCompletion;
  private readonly continuation: RunContinuation;
  private readonly standby: StandbyAttempt;
  private current: EndpointAttempt | undefined;
  /** Identifiers of endpoints that have refused the request, or answered that they failed. */
  private readonly failedAt = new Set<string>();
  /** A standby that has been silent for longer than an attempt may be. */
  private missedFailover: EndpointExchange | undefined;

  constructor(
    private readonly parts: RunParts,
    private readonly context: RequestContext,
    budget: RequestBudget,
    private readonly record: RequestRecord,
  ) {
    const {dialect, directory, paths, link, clock, placement} = parts;
    this.chooser = new EndpointChooser(directory, paths, clock, placement);
    this.timeouts = new AnswerTimeouts(context, paths, clock, link);
    this.lifetime = new RequestLifetime(context, clock);
    const {chooser, lifetime} = this;
    const claimResend = () =>
      context.resends.tryTake(parts.resendHosts(), lifetime.now());
    const completion = new RequestCompletion(dialect, context, record);
    this.completion = completion;
    this.continuation = new RunContinuation({
      ...parts,
      context,
      record,
      chooser,
      lifetime,
      claimResend,
      hostCount: () => placement.hostCount(),
      fraction: () => placement.fraction(),
    });
    this.retries = new RequestRetries({
      context,
      record,
      completion,
      lifetime,
      chooser,
      directory,
      paths,
      crashes: parts.crashes,
      suspects: parts.suspects,
      continuation: this.continuation,
      promoteStandby: () => this.standby.promote(),
      claimResend,
      returnResend: () => {
        context.resends.giveBack();
      },
    });
    this.answers = new AnswerRelay(
      dialect,
      context,
      budget,
      record,
      completion,
      lifetime,
      parts.suspects,
      () => parts.readList(),
    );
    this.standby = new StandbyAttempt({
      begin: () => this.beginStandby(),
      mayTakeOver: head =>
        this.retries.mayGoOn &&
        (head === undefined
          ? context.binding.mayContinue && this.retries.claimReturn()
          : this.answers.mayFollow(head)),
      mayPassOn: (attempt, head) => this.answers.mayPassOn(attempt, head),
      goesOn: (attempt, head) => this.answers.goesOn(attempt, head),
      failed: (attempt, head) => {
        if (isFailure(head)) {
          this.recordAnswer(attempt, head);
        }
        return this.retries.standbyFailed(attempt, head);
      },
      tookOver: silent => {
        this.retries.standbyTookOver(silent);
      },
      cancelled: (attempt, reason) => {
        this.retries.standbyCancelled(attempt, reason);
      },
    });
  }

  /** Resolves when the caller has its answer or a local reply, or has left. */
  async run(): Promise<void> {
    const {caller} = this.context;
    const onDisconnect = () => {
      this.cancelAttempts('caller left');
      this.lifetime.abortWaits();
    };
    caller.disconnectSignal.addEventListener('abort', onDisconnect);
    const remaining = Math.max(0, this.lifetime.remaining());
    const timeout = new NetworkTimeout(remaining, () => {
      this.lifetime.timeOut();
      this.cancelAttempts('deadline');
    });
    caller.progress.stage = RequestStage.Admission;
    try {
      const refusal = await this.parts.admissions.admit(
        this.context,
        this.record,
        this.lifetime.waitSignal,
      );
      if (refusal !== undefined) {
        this.completion.refuse(refusal);
        return;
      }
      while ((await this.attempt()) === NextStep.Retry) {
        // Each attempt selects an endpoint from the current state.
      }
    } finally {
      this.standby.close();
      timeout.close();
      this.completion.close();
      caller.disconnectSignal.removeEventListener('abort', onDisconnect);
    }
  }

  /**
   * Ends the request with what it has so far, because the process is stopping.
   */
  cut(): void {
    this.lifetime.timeOut();
    this.cancelAttempts('stopping');
    this.lifetime.abortWaits();
  }

  private cancelAttempts(reason: string): void {
    this.current?.exchange.cancel(reason);
    this.standby.cancel(reason);
  }

  private async attempt(): Promise<NextStep> {
    const {context, retries} = this;
    const standby = this.standby.take();
    if (standby !== undefined) {
      return this.complete(standby);
    }
    this.standby.cancel('another attempt begins');
    context.caller.progress.stage = RequestStage.Placement;
    const returned = retries.takeReturn();
    const isContinued = this.continuation.hasNext;
    const next = await this.continuation.takeNext();
    if (
      isContinued &&
      next === undefined &&
      !context.caller.disconnectSignal.aborted
    ) {
      return retries.afterLostRun();
    }
    const chosen =
      next ??
      returned ??
      this.chooser.choose(context, retries.avoided) ??
      (await this.chooseLater());
    const place = chosen === undefined ? await this.waitForPlace() : undefined;
    let opened: OpenAttempt | undefined;
    try {
      opened = this.openOrGiveUp(chosen ?? place?.chosen, next !== undefined);
    } finally {
      place?.close();
    }
    return opened === undefined ? NextStep.Ended : this.complete(opened);
  }

  /**
   * Sends an attempt; undefined if the request has ended instead.
   *
   * @param isNext Whether its run goes on from what was kept for it.
   */
  private openOrGiveUp(
    chosen: ChosenEndpoint | undefined,
    isNext: boolean,
  ): OpenAttempt | undefined {
    const {context, retries, chooser} = this;
    this.recordPlacement(chosen);
    if (context.caller.disconnectSignal.aborted) {
      this.record.outcome = 'caller-left';
      return undefined;
    }
    // What an answer has begun with can't begin at another host.
    const goesOn = isNext || context.caller.isAnswering;
    if (!retries.mayAttempt) {
      retries.giveUp(LocalReplyReason.DeadlinePassed);
    } else if (!goesOn && !context.mayBegin()) {
      retries.giveUp(
        LocalReplyReason.Stopping,
        OTHER_HOST_RETRY_AFTER_MILLISECONDS,
      );
    } else if (chosen === undefined) {
      retries.giveUp(
        chooser.reasonForNone(context),
        chooser.retryAfterMilliseconds(),
      );
    } else {
      return this.open(chosen, false);
    }
    return undefined;
  }

  /** Sends an attempt; its `close` ends what begins here. */
  private open(chosen: ChosenEndpoint, isStandby: boolean): OpenAttempt {
    const attempt = this.begin(chosen, isStandby);
    const {endpoint, path, exchange, monitor} = attempt;
    const stopWatchingPath = this.watchPath(path, monitor);
    this.parts.crashes.attemptBegan(attempt);
    const close = () => {
      this.parts.crashes.attemptEnded(attempt);
      exchange.close();
      attempt.admission?.close();
      stopWatchingPath();
      monitor.close();
      this.timeouts.recordFirstByteTime(monitor);
      const now = this.lifetime.now();
      attempt.work.ended(now);
      endpoint.load--;
      const wasSent = exchange.connectionOrigin !== ConnectionOrigin.None;
      this.places.attemptEnded(endpoint, {
        milliseconds: wasSent ? now - attempt.sentAt : undefined,
        mayGoOn: wasSent && exchange.wasCancelled,
      });
      path.dataCenters.requestEnded(endpoint.entry.dataCenter);
    };
    return {attempt, head: exchange.head(), close};
  }

  private beginStandby(): OpenAttempt | undefined {
    const {chooser, context, retries} = this;
    if (!retries.claimStandby()) {
      return undefined;
    }
    const chosen = chooser.choose(context, retries.avoided);
    return chosen && this.open(chosen, true);
  }

  /** Follows an attempt to its end. */
  private async complete(open: OpenAttempt): Promise<NextStep> {
    const {retries} = this;
    const {attempt} = open;
    this.current = attempt;
    this.record.endpoint = attempt.endpoint.entry.id;
    this.continuation.attemptBegan(attempt);
    if (this.missedFailover === attempt.exchange) {
      attempt.monitor.expire();
    }
    try {
      const head = await open.head;
      this.recordAnswer(attempt, head);
      if (!isFailure(head) && this.answers.isBufferedAnswer(head)) {
        this.standby.cancel('the other endpoint answers');
      }
      const result = isFailure(head)
        ? AnswerResult.Broken
        : await this.answers.relay(
            attempt,
            head,
            this.continuation.isContinued,
          );
      if (result === AnswerResult.Broken) {
        // An endpoint that has stopped the run is not silent.
        attempt.monitor.close();
        await this.continuation.settled(attempt, () => retries.claimFailover());
      }
      return isFailure(head)
        ? retries.afterFailure(attempt, head)
        : retries.afterAnswer(attempt, result);
    } finally {
      this.continuation.attemptEnded();
      open.close();
      this.current = undefined;
    }
  }

  /**
   * Sends the request to another endpoint, because one is silent, which keeps it until
   * the other one has taken it.
   */
  private failOver(exchange: EndpointExchange): boolean {
    const {current} = this;
    if (current?.exchange !== exchange) {
      this.missedFailover = exchange;
      return false;
    }
    return this.standby.begin(current);
  }

  /**
   * Selects an endpoint. Where those of a stream's build all refuse connections, this
   * host has lost its path to them, or they have ended; the next connects tell which.
   * Nothing is awaited of endpoints that take no request now.
   */
  private async chooseLater(): Promise<ChosenEndpoint | undefined> {
    const {chooser, context, lifetime, retries} = this;
    const until = lifetime.now() + PATH_DECISION_MILLISECONDS;
    let chosen: ChosenEndpoint | undefined;
    while (
      chosen === undefined &&
      chooser.withheld.inNeed.length === 0 &&
      !lifetime.isAbandoned &&
      lifetime.now() < until &&
      chooser.mayChoose(context)
    ) {
      await this.parts.clock.sleep(PATH_POLL_MILLISECONDS, lifetime.waitSignal);
      chosen = chooser.choose(context, retries.avoided);
    }
    return chosen;
  }

  /**
   * Waits for a place if endpoints are withheld for want of room. A request that would
   * have to wait for longer than its goal does not wait, as all behind it would be late.
   */
  private async waitForPlace(): Promise<HeldPlace | undefined> {
    const {chooser, context, lifetime, retries} = this;
    const {route, service, organisation, caller} = context;
    const isFull = chooser.withheld.inNeed.some(
      ({reason}) => reason === WithholdingReason.Room,
    );
    if (!isFull || lifetime.isAbandoned) {
      return undefined;
    }
    const begunAt = lifetime.now();
    const limitMilliseconds = lifetime.remaining() * MAXIMUM_WAIT_SHARE;
    const hasGoal = route.goalMilliseconds > 0 && !caller.isAnswering;
    const place = await this.places.waitFor(service.name, {
      priority: requestPriority(route, organisation),
      goalMilliseconds: hasGoal
        ? Math.min(route.goalMilliseconds, limitMilliseconds)
        : limitMilliseconds,
      limitMilliseconds,
      signal: lifetime.waitSignal,
      choose: () => chooser.choose(context, retries.avoided),
    });
    this.record.placeWaitMilliseconds += lifetime.now() - begunAt;
    return place;
  }

  private get places(): EndpointPlaces {
    return this.parts.placement.stated.places;
  }

  private recordPlacement(chosen: ChosenEndpoint | undefined): void {
    const {evacuations} = this.parts;
    const {cold, withheld, inNeed} = this.chooser.withheld;
    this.record.placement = {
      cold,
      withheld,
      inNeed: inNeed.map(
        ({endpoint, reason}) => `${endpoint.entry.id} (${reason})`,
      ),
      isCold: chosen?.isCold === true,
      belief: chosen && describeBelief(chosen, this.lifetime.now()),
      evacuated: evacuations.dataCenters,
      evacuationsAgeMilliseconds: evacuations.ageMilliseconds,
    };
  }

  private begin(chosen: ChosenEndpoint, isStandby: boolean): EndpointAttempt {
    const {endpoint, path, isCold} = chosen;
    const {retries, lifetime, context, parts} = this;
    retries.attemptBegins(endpoint.entry.id, path);
    const sentAt = lifetime.now();
    context.caller.progress.attemptBegins();
    parts.placement
      .popularityOf(context.service.name)
      .record(context.caller.headers.promptParts.at(-2)?.id, sentAt);
    parts.placement.stated.requestSent(endpoint, maximumTokens(context.caller));
    if (isCold) {
      const {id} = endpoint.entry;
      const requestsPerSecond = context.service.coldRequestsPerSecond;
      parts.placement.cold.admitted({id, requestsPerSecond}, sentAt);
      parts.metrics.coldRequestSent();
    }
    const exchange = this.dispatch(chosen, isStandby);
    parts.metrics.sharedPartsPlaced(
      chosen.placement.source,
      chosen.sharedTokens,
    );
    const work = beginWork(chosen, context, parts.placement, sentAt);
    const monitor = this.timeouts.startMonitor(
      endpoint,
      path,
      exchange,
      retries.canFailOver(isStandby ? 2 : 1),
      {
        failOver: () => this.failOver(exchange),
        wentOn: () => {
          if (this.current?.exchange === exchange && !exchange.hasFailed) {
            this.standby.cancel('the other endpoint goes on');
          }
        },
      },
    );
    return new EndpointAttempt(
      endpoint,
      path,
      exchange,
      monitor,
      work,
      context.identity,
      this.record,
      sentAt,
      () => lifetime.now() - context.caller.arrivedAt,
      parts.admissions.attemptSent(context, sentAt),
    );
  }

  /** Makes an attempt fail over at once when this host loses its own path. */
  private watchPath(
    path: EndpointPath,
    monitor: InactivityMonitor,
  ): () => void {
    return path.kind === PathKind.Direct
      ? this.parts.paths.onLost(this.context.service.name, () => {
          monitor.expire();
        })
      : () => undefined;
  }

  private dispatch(
    chosen: ChosenEndpoint,
    isStandby: boolean,
  ): EndpointExchange {
    const {endpoint, path} = chosen;
    const {caller, body, organisation, route} = this.context;
    const {dialect} = this.parts;
    const {connections} = path;
    const breaker = path.breakerOf(endpoint);
    const priority = requestPriority(route, organisation);
    const headers = dialect.dispatchHeaders(caller.rawHeaders, {
      endpointId: endpoint.entry.id,
      organisation: organisation?.name,
      remainingMilliseconds: Math.max(1, Math.floor(this.lifetime.remaining())),
      priority,
      lastEventId: this.record.lastEventId ?? caller.headers.lastEventId,
      // The copies of a request's run are those of its current attempt.
      ...(isStandby
        ? {backupAt: undefined, continueFrom: undefined}
        : this.continuation.headersFor(
            chosen,
            priority,
            this.retries.canFailOver(),
          )),
      fetchFrom: fetchSource(chosen),
    });
    endpoint.load++;
    if (breaker.isTripped) {
      connections.closeIdle(endpoint.entry);
    } else if (!isRepeatable(route)) {
      connections.closeIdle(endpoint.entry, MAXIMUM_SAFE_IDLE_MILLISECONDS);
    }
    breaker.requestSent();
    path.dataCenters.requestSent(endpoint.entry.dataCenter);
    return new EndpointExchange(
      dialect,
      connections,
      endpoint.entry,
      {
        method: caller.method,
        target: caller.target,
        headers: withLength(headers, body),
        body,
        attemptId: caller.headers.attemptId,
        wasAnswered: this.failedAt.has(endpoint.entry.id),
      },
      this.inputListener(chosen),
      this.parts.account,
    );
  }

  private inputListener(chosen: ChosenEndpoint): InputListener {
    const log = inputLog(this.parts.events, this.parts.metrics);
    return {
      ended: (endpointId, input) => {
        log.ended(endpointId, input);
        if (input.limit === InputBreach.ProcessBytes) {
          this.restAfterFlood(chosen);
        }
      },
      deferred: () => {
        log.deferred();
      },
    };
  }

  private restAfterFlood({endpoint, path}: ChosenEndpoint): void {
    endpoint.askedForRest(REST_AFTER_FLOOD_MILLISECONDS, this.lifetime.now());
    path.connections.closeIdle(endpoint.entry);
  }

  /**
   * Records that the endpoint responded. The response time of a refusal is not
   * used as a latency sample, as it does not show how fast the endpoint serves.
   */
  private recordAnswer(
    {
      endpoint,
      path,
      breaker,
      monitor,
      work,
      admission,
      sentAt,
    }: EndpointAttempt,
    head: AnswerHead | ExchangeFailure,
  ): void {
    if (head.endpointHeaders !== undefined) {
      this.parts.directory.statements.answered(endpoint, {
        statement: head.endpointHeaders.statement,
        sentAt,
        request: this.context.caller.headers.attemptId,
      });
    }
    const hasRefused =
      isFailure(head) &&
      (head.kind === FailureKind.NotRun ||
        head.kind === FailureKind.WrongEndpoint);
    if (hasRefused || (!isFailure(head) && head.status >= 500)) {
      this.failedAt.add(endpoint.entry.id);
    }
    if (isFailure(head) && head.kind === FailureKind.NotRun) {
      this.parts.metrics.endpointRefused(this.context.service.name);
      if (!refusesForItself(endpoint, head)) {
        this.places.refused(endpoint);
        admission?.refused(this.lifetime.now());
      }
    }
    if (!isFailure(head)) {
      this.retries.answerBegan();
      const now = this.lifetime.now();
      if (this.context.route.kind !== RouteKind.Streaming) {
        admission?.began(now);
      }
      this.record.answerBeganAt = now;
      this.continuation.answerBegan(head, endpoint);
      if (head.status < 300) {
        work.began(now);
      }
      if (!head.endpointHeaders.closesConnection) {
        endpoint.confirmOpen(now - monitor.elapsedMilliseconds);
      }
      monitor.headReceived();
    }
    if (hasRefused || (isFailure(head) && head.kind === FailureKind.NotSent)) {
      work.notRun();
    }
    if (!isFailure(head) || hasRefused) {
      breaker.recordResponse();
      path.dataCenters.recordResponse(endpoint.entry.dataCenter);
    }
  }
}

/**
 * Whether an endpoint refuses for a reason of its own, which says nothing of the load of
 * its service.
 */
function refusesForItself(
  endpoint: KnownEndpoint,
  {endpointHeaders}: ExchangeFailure,
): boolean {
  return (
    endpoint.isLeaving ||
    endpointHeaders?.statement.restMilliseconds !== undefined
  );
}

function withLength(
  headers: readonly string[],
  body: Buffer | undefined,
): readonly string[] {
  return body === undefined
    ? headers
    : [...headers, 'Content-Length', String(body.length)];
}
