import type {EndpointCircuitBreaker} from '@wisteriadeal/decisions';
import {
  NetworkTimeout,
  type Clock,
  type HostLink,
} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';

import {AnswerTimeouts} from './answer-timeouts.js';
import {RouteKind} from './configuration.js';
import type {Dialect} from './dialect.js';
import {EndpointChooser} from './endpoint-chooser.js';
import {MAXIMUM_SAFE_IDLE_MILLISECONDS} from './endpoint-connection-pool.js';
import type {EndpointDirectory, KnownEndpoint} from './endpoint-directory.js';
import {
  ConnectionOrigin,
  EndpointExchange,
  FailureKind,
  isFailure,
  type AnswerHead,
  type ExchangeFailure,
} from './endpoint-exchange.js';
import {PathKind, type EndpointPath} from './endpoint-path.js';
import {LocalReplyReason} from './local-reply.js';
import type {RequestBudget} from './request-budget.js';
import {isRepeatable, type RequestContext} from './request-context.js';
import {RequestCompletion} from './request-completion.js';
import type {RequestRecord} from './request-record.js';
import type {InactivityMonitor} from './inactivity-monitor.js';
import type {ServicePaths} from './service-paths.js';
import {RelayResult, relayStream} from './stream-relay.js';
import type {BudgetRefusal} from './token-waiters.js';

/** Dependencies shared by all request runs of a process. */
export interface RunParts {
  readonly dialect: Dialect;
  readonly paths: ServicePaths;
  readonly link: HostLink;
  readonly directory: EndpointDirectory;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly dataCenter: string;
  /** Number of hosts that share the resend budget. */
  hostCount(): number;
}

/**
 * What to do after an attempt: the request has ended, or another endpoint is
 * tried.
 */
enum NextStep {
  Ended,
  Retry,
}

/**
 * Unreachable endpoints tried over one path before the request is given up; each
 * try costs a connect timeout.
 */
const MAXIMUM_UNREACHABLE_ENDPOINTS = 3;
/**
 * No attempt is started with less time than this left until the deadline,
 * milliseconds.
 */
const MINIMUM_ATTEMPT_MILLISECONDS = 20;
/**
 * Priority levels for routes within each priority of an organisation, which
 * takes precedence; endpoints accept ten levels in all.
 */
const ROUTE_PRIORITY_LEVELS = 3;
const LOWEST_PRIORITY = 9;

/** Sends one request to endpoints until it has a final answer. */
export class RequestRun {
  private readonly avoided = new Set<string>();
  private readonly chooser: EndpointChooser;
  private readonly timeouts: AnswerTimeouts;
  private readonly completion: RequestCompletion;
  private attemptCount = 0;
  private unreachableCount = 0;
  private current: EndpointExchange | undefined;
  /** The path of the current attempt, or of the last one. */
  private path: EndpointPath;
  private hasTimedOut = false;
  private hasClaimedFailover = false;
  /** Aborts the wait for tokens when the caller has left or the run is cut. */
  private readonly tokenWait = new AbortController();

  constructor(
    private readonly parts: RunParts,
    private readonly context: RequestContext,
    private readonly budget: RequestBudget,
    private readonly record: RequestRecord,
  ) {
    const {directory, paths, clock, dataCenter} = parts;
    this.path = paths.pathTo(context.service.name);
    this.chooser = new EndpointChooser(directory, paths, clock, dataCenter);
    this.completion = new RequestCompletion(parts.dialect, context, record);
    this.timeouts = new AnswerTimeouts(context, paths, clock, parts.link);
  }

  /** Resolves when the caller has its answer or a local reply, or has left. */
  async run(): Promise<void> {
    const {caller, deadlineAt} = this.context;
    const onDisconnect = () => {
      this.current?.cancel('caller left');
      this.tokenWait.abort();
    };
    caller.disconnectSignal.addEventListener('abort', onDisconnect);
    const remaining = Math.max(0, deadlineAt - this.now());
    const timeout = new NetworkTimeout(remaining, () => {
      this.hasTimedOut = true;
      this.current?.cancel('deadline');
    });
    try {
      while ((await this.attempt()) === NextStep.Retry) {
        // Each attempt selects an endpoint from the current state.
      }
    } finally {
      timeout.close();
      caller.disconnectSignal.removeEventListener('abort', onDisconnect);
    }
  }

  /**
   * Ends the request with what it has so far, because the process is stopping.
   */
  cut(): void {
    this.hasTimedOut = true;
    this.current?.cancel('stopping');
    this.tokenWait.abort();
  }

  private async attempt(): Promise<NextStep> {
    const {caller} = this.context;
    if (caller.disconnectSignal.aborted) {
      this.record.outcome = 'caller-left';
      return NextStep.Ended;
    }
    if (this.hasTimedOut || this.remaining() < MINIMUM_ATTEMPT_MILLISECONDS) {
      return this.giveUp(LocalReplyReason.DeadlinePassed);
    }
    const chosen = this.chooser.choose(this.context, this.avoided);
    if (chosen === undefined) {
      return this.giveUp(LocalReplyReason.NoEndpoint);
    }
    const {endpoint} = chosen;
    this.usePath(chosen.path);
    const exchange = this.dispatch(endpoint);
    const monitor = this.timeouts.startMonitor(
      endpoint,
      this.path,
      exchange,
      this.canFailOver(),
      () => this.claimFailover(),
    );
    const stopWatchingPath = this.watchPath(monitor);
    this.current = exchange;
    try {
      const head = await exchange.head();
      this.recordAnswer(endpoint, head, monitor);
      const next = isFailure(head)
        ? this.afterFailure(endpoint, head)
        : await this.afterHead(endpoint, exchange, head, monitor);
      return next;
    } finally {
      stopWatchingPath();
      monitor.close();
      this.timeouts.recordFirstByteTime(monitor);
      endpoint.load--;
      this.path.dataCenters.requestEnded(endpoint.entry.dataCenter);
      this.current = undefined;
    }
  }

  /** Sets the path of the next attempt. Each path has tries of its own. */
  private usePath(path: EndpointPath): void {
    if (path !== this.path) {
      this.unreachableCount = 0;
    }
    this.path = path;
  }

  /** Makes an attempt fail over at once when this host loses its own path. */
  private watchPath(monitor: InactivityMonitor): () => void {
    return this.path.kind === PathKind.Direct
      ? this.parts.paths.onLost(this.context.service.name, () => {
          monitor.expire();
        })
      : () => undefined;
  }

  /**
   * Whether the request may fail over to another endpoint after this attempt.
   */
  private canFailOver(): boolean {
    const {route} = this.context;
    return isRepeatable(route) && this.attemptCount + 1 < route.maximumAttempts;
  }

  /**
   * Claims a resend from the fleet-wide budget for a failover. Without one, or
   * without another endpoint, cancelling an answer that is only late would cut
   * it.
   */
  private claimFailover(): boolean {
    const other = this.chooser.choose(this.context, this.avoided)?.endpoint;
    this.hasClaimedFailover =
      other !== undefined &&
      !this.avoided.has(other.entry.id) &&
      this.claimResend();
    return this.hasClaimedFailover;
  }

  private claimResend(): boolean {
    return this.context.resends.tryTake(this.parts.hostCount(), this.now());
  }

  private dispatch(endpoint: KnownEndpoint): EndpointExchange {
    const {caller, body, organisation} = this.context;
    const {dialect} = this.parts;
    const {connections} = this.path;
    const breaker = this.breakerOf(endpoint);
    const headers = dialect.dispatchHeaders(caller.rawHeaders, {
      endpointId: endpoint.entry.id,
      organisation: organisation?.name,
      remainingMilliseconds: Math.max(1, Math.floor(this.remaining())),
      priority: this.priority(),
      lastEventId: this.record.lastEventId ?? caller.headers.lastEventId,
    });
    endpoint.load++;
    if (breaker.isTripped) {
      connections.closeIdle(endpoint.entry);
    } else if (!isRepeatable(this.context.route)) {
      connections.closeIdle(endpoint.entry, MAXIMUM_SAFE_IDLE_MILLISECONDS);
    }
    breaker.requestSent();
    this.path.dataCenters.requestSent(endpoint.entry.dataCenter);
    this.avoided.add(endpoint.entry.id);
    this.record.endpoint = endpoint.entry.id;
    return new EndpointExchange(dialect, connections, endpoint.entry, {
      method: caller.method,
      target: caller.target,
      headers: withLength(headers, body),
      body,
      attemptId: caller.headers.attemptId,
    });
  }

  /**
   * Records that the endpoint responded. The response time of a refusal is not
   * used as a latency sample, as it does not show how fast the endpoint serves.
   */
  private recordAnswer(
    endpoint: KnownEndpoint,
    head: AnswerHead | ExchangeFailure,
    monitor: InactivityMonitor,
  ): void {
    const hasRefused =
      isFailure(head) &&
      (head.kind === FailureKind.NotRun ||
        head.kind === FailureKind.WrongEndpoint);
    if (!isFailure(head)) {
      if (!head.endpointHeaders.closesConnection) {
        endpoint.confirmOpen(this.now() - monitor.elapsedMilliseconds);
      }
      monitor.headReceived();
    }
    if (!isFailure(head) || hasRefused) {
      this.breakerOf(endpoint).recordResponse();
      this.path.dataCenters.recordResponse(endpoint.entry.dataCenter);
    }
  }

  private afterFailure(
    endpoint: KnownEndpoint,
    failure: ExchangeFailure,
  ): NextStep {
    const {kind, reason} = failure;
    this.recordAttempt(endpoint, `${kind}: ${reason}`);
    if (kind === FailureKind.NotRun) {
      this.breakerOf(endpoint).requestEnded();
      return this.retryOrGiveUp(LocalReplyReason.EndpointsRefused, true);
    }
    if (kind === FailureKind.WrongEndpoint) {
      this.parts.directory.remove(endpoint, reason);
      return this.retryOrGiveUp(LocalReplyReason.EndpointsRefused, true);
    }
    if (kind === FailureKind.NotSent) {
      return this.afterNotSent(endpoint, failure);
    }
    this.record.mayHaveRun = true;
    return this.afterBroken(endpoint);
  }

  private afterNotSent(
    endpoint: KnownEndpoint,
    {mayBeLinkDelay, hasNoPath}: ExchangeFailure,
  ): NextStep {
    if (hasNoPath === true) {
      this.breakerOf(endpoint).requestEnded();
      return this.giveUp(LocalReplyReason.EndpointsUnreachable);
    }
    if (this.isAbandoned() || mayBeLinkDelay === true) {
      this.breakerOf(endpoint).requestEnded();
    } else {
      const {dataCenter, id} = endpoint.entry;
      this.breakerOf(endpoint).recordConnectionFailure(this.now());
      this.path.dataCenters.recordSilence(dataCenter, id, this.now());
    }
    this.unreachableCount++;
    // The host may have lost this path during the attempt, and there is another one.
    const hasOtherPath =
      this.path !== this.parts.paths.pathTo(this.context.service.name);
    const maximum = (hasOtherPath ? 2 : 1) * MAXIMUM_UNREACHABLE_ENDPOINTS;
    return this.unreachableCount < maximum && !this.isAbandoned()
      ? NextStep.Retry
      : this.giveUp(LocalReplyReason.EndpointsUnreachable);
  }

  /** Handles a request that reached the endpoint but got no complete answer. */
  private afterBroken(endpoint: KnownEndpoint): NextStep {
    if (this.isAbandoned()) {
      this.breakerOf(endpoint).requestEnded();
      return this.giveUp(LocalReplyReason.TimedOut);
    }
    this.breakerOf(endpoint).recordConnectionFailure(this.now());
    return isRepeatable(this.context.route)
      ? this.retryOrGiveUp(LocalReplyReason.AnswerLost, false)
      : this.giveUp(LocalReplyReason.AnswerLost);
  }

  private async afterHead(
    endpoint: KnownEndpoint,
    exchange: EndpointExchange,
    head: AnswerHead,
    monitor: InactivityMonitor,
  ): Promise<NextStep> {
    this.record.mayHaveRun = true;
    if (head.status < 300 && !head.endpointHeaders.hasProof) {
      exchange.cancel('success status without endpoint proof');
      this.recordAttempt(endpoint, 'success status without endpoint proof');
      return this.afterBroken(endpoint);
    }
    const isStream =
      this.context.route.kind === RouteKind.Streaming && head.status === 200;
    return isStream
      ? this.relayEventStream(endpoint, exchange, head, monitor)
      : this.relayBufferedAnswer(endpoint, exchange, head);
  }

  private async relayBufferedAnswer(
    endpoint: KnownEndpoint,
    exchange: EndpointExchange,
    head: AnswerHead,
  ): Promise<NextStep> {
    const body = await exchange.readBody();
    if (body === undefined) {
      this.recordAttempt(endpoint, exchange.failureReason);
      return this.afterBroken(endpoint);
    }
    this.recordAttempt(endpoint, `answered ${head.status}`);
    if (head.status >= 500) {
      this.breakerOf(endpoint).recordFailedAnswer();
    } else {
      this.breakerOf(endpoint).recordSuccess();
    }
    const refusal = await this.acquireTokens();
    if (refusal !== undefined) {
      this.completion.refuseForBudget(refusal, this.hasTimedOut);
      return NextStep.Ended;
    }
    this.completion.setFallback({head, body, hasLength: exchange.hasLength});
    const shouldRetry =
      head.status >= 500 &&
      isRepeatable(this.context.route) &&
      !this.isAbandoned();
    return shouldRetry
      ? this.retryOrGiveUp(LocalReplyReason.AnswerLost, false)
      : this.giveUp(LocalReplyReason.AnswerLost);
  }

  private async relayEventStream(
    endpoint: KnownEndpoint,
    exchange: EndpointExchange,
    head: AnswerHead,
    monitor: InactivityMonitor,
  ): Promise<NextStep> {
    const {caller} = this.context;
    const refusal = await this.acquireTokens();
    if (refusal !== undefined) {
      exchange.cancel('tokens refused');
      this.recordAttempt(endpoint, `tokens refused: ${refusal}`);
      this.breakerOf(endpoint).recordSuccess();
      this.completion.refuseForBudget(refusal, this.hasTimedOut);
      return NextStep.Ended;
    }
    if (!caller.isAnswering) {
      caller.beginStream(
        head.status,
        this.parts.dialect.answerHeaders(head.rawHeaders),
      );
      this.record.status = head.status;
    }
    monitor.bodyStarted();
    const result = await relayStream(
      exchange,
      caller,
      this.record,
      monitor,
      () => this.now(),
    );
    if (result === RelayResult.Complete) {
      this.recordAttempt(endpoint, 'complete stream');
      this.breakerOf(endpoint).recordSuccess();
      caller.endStream();
      this.record.outcome = 'answered';
      return NextStep.Ended;
    }
    exchange.cancel('stream no longer relayed');
    this.recordAttempt(endpoint, `${result}: ${exchange.failureReason}`);
    if (result === RelayResult.CallerLeft) {
      this.breakerOf(endpoint).requestEnded();
      this.record.outcome = 'caller-left';
      return NextStep.Ended;
    }
    return this.afterBroken(endpoint);
  }

  /**
   * Acquires the tokens reserved for this request; waits while other holders
   * may still provide them.
   */
  private acquireTokens(): Promise<BudgetRefusal | undefined> {
    return this.budget.acquireTokens(
      {
        milliseconds: Math.max(0, this.remaining()),
        signal: this.tokenWait.signal,
      },
      () => this.now(),
    );
  }

  /**
   * Retries at another endpoint if the route, the fleet's resend budget and the
   * remaining time allow it.
   */
  private retryOrGiveUp(reason: LocalReplyReason, isNotRun: boolean): NextStep {
    this.attemptCount++;
    const {route} = this.context;
    const hasClaimed = this.hasClaimedFailover;
    this.hasClaimedFailover = false;
    const mayResend =
      !this.isAbandoned() &&
      this.attemptCount < route.maximumAttempts &&
      this.remaining() > MINIMUM_ATTEMPT_MILLISECONDS &&
      (isNotRun || isRepeatable(route)) &&
      (hasClaimed || this.claimResend());
    return mayResend ? NextStep.Retry : this.giveUp(reason);
  }

  private breakerOf(endpoint: KnownEndpoint): EndpointCircuitBreaker {
    return this.path.breakerOf(endpoint);
  }

  private giveUp(reason: LocalReplyReason): NextStep {
    this.completion.giveUp(reason, this.hasTimedOut);
    return NextStep.Ended;
  }

  private priority(): number {
    const {organisation, route} = this.context;
    const routeLevel = Math.min(route.priority, ROUTE_PRIORITY_LEVELS - 1);
    const level =
      (organisation?.priority ?? 0) * ROUTE_PRIORITY_LEVELS + routeLevel;
    return Math.min(LOWEST_PRIORITY, Math.max(0, level));
  }

  private recordAttempt(endpoint: KnownEndpoint, result: string): void {
    this.record.attempts.push({
      endpoint: endpoint.entry.id,
      path: this.path.kind,
      connection: this.current?.connectionOrigin ?? ConnectionOrigin.None,
      atMilliseconds: Math.round(this.now() - this.context.caller.arrivedAt),
      result,
    });
  }

  /**
   * Whether the caller has left or the deadline has passed, so that no endpoint
   * is at fault.
   */
  private isAbandoned(): boolean {
    return this.hasTimedOut || this.context.caller.disconnectSignal.aborted;
  }

  private remaining(): number {
    return this.context.deadlineAt - this.now();
  }

  private now(): number {
    return this.parts.clock.monotonicMilliseconds();
  }
}

function withLength(
  headers: readonly string[],
  body: Buffer | undefined,
): readonly string[] {
  return body === undefined
    ? headers
    : [...headers, 'Content-Length', String(body.length)];
}
