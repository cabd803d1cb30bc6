import type {DataCenterTrust} from '@wisteriadeal/decisions';
import {
  NetworkTimeout,
  type Clock,
  type HostLink,
} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';

import {AnswerPatience} from './answer-patience.js';
import {RouteKind} from './configuration.js';
import type {Dialect} from './dialect.js';
import {EndpointChooser} from './endpoint-chooser.js';
import {
  LONGEST_CERTAIN_IDLE_MILLISECONDS,
  type EndpointConnections,
} from './endpoint-connections.js';
import type {EndpointDirectory, KnownEndpoint} from './endpoint-directory.js';
import {
  EndpointExchange,
  ExchangeFate,
  isFailure,
  type AnswerHead,
  type ExchangeFailure,
} from './endpoint-exchange.js';
import {OwnReason} from './own-answer.js';
import type {RequestBudget} from './request-budget.js';
import {mayRepeat, type RequestContext} from './request-context.js';
import {RequestEnding} from './request-ending.js';
import type {RequestRecord} from './request-record.js';
import type {SilenceWatch} from './silence-watch.js';
import {RelayEnd, relayStream} from './stream-relay.js';
import type {BudgetRefusal} from './token-waiters.js';

/** What all runs of a process share. */
export interface RunParts {
  readonly dialect: Dialect;
  readonly connections: EndpointConnections;
  readonly link: HostLink;
  readonly directory: EndpointDirectory;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly dataCenter: string;
  readonly dataCenters: DataCenterTrust;
  /** Hosts that share the bound on resends. */
  hosts(): number;
}

/** What follows an attempt: the request has ended, or another endpoint is tried. */
enum Next {
  Ended,
  Again,
}

/** Unreachable endpoints are passed over so often; each try costs the time of a connection. */
const MOST_UNREACHABLE = 3;
/** Less time than this is not worth another attempt, milliseconds. */
const SHORTEST_ATTEMPT_MILLISECONDS = 20;
/** A tenant's urgency goes before a route's; ten levels are left to endpoints. */
const ROUTE_LEVELS = 3;
const LAST_PRIORITY = 9;

/** Takes one request to endpoints until it has a final answer. */
export class RequestRun {
  private readonly avoided = new Set<string>();
  private readonly chooser: EndpointChooser;
  private readonly patience: AnswerPatience;
  private readonly ending: RequestEnding;
  private sentTo = 0;
  private unreachable = 0;
  private current: EndpointExchange | undefined;
  private hasTimedOut = false;
  private hasClaimedMove = false;
  /** Ends the wait for tokens: the caller has left, or the run is cut. */
  private readonly tokenWait = new AbortController();

  constructor(
    private readonly parts: RunParts,
    private readonly context: RequestContext,
    private readonly budget: RequestBudget,
    private readonly record: RequestRecord,
  ) {
    const {directory, dataCenters, clock, dataCenter} = parts;
    this.chooser = new EndpointChooser(
      directory,
      dataCenters,
      clock,
      dataCenter,
    );
    this.ending = new RequestEnding(parts.dialect, context, record);
    this.patience = new AnswerPatience(context, dataCenters, clock, parts.link);
  }

  /** Ends when the caller has its answer, was told why not, or has left. */
  async run(): Promise<void> {
    const {caller, deadlineAt} = this.context;
    const onLeave = () => {
      this.current?.cancel('caller left');
      this.tokenWait.abort();
    };
    caller.leaving.addEventListener('abort', onLeave);
    const left = Math.max(0, deadlineAt - this.now());
    const timeout = new NetworkTimeout(left, () => {
      this.hasTimedOut = true;
      this.current?.cancel('deadline');
    });
    try {
      while ((await this.attempt()) === Next.Again) {
        // The next endpoint is chosen afresh.
      }
    } finally {
      timeout.close();
      caller.leaving.removeEventListener('abort', onLeave);
    }
  }

  /** Ends it with what there is: the process that runs it ends. */
  cut(): void {
    this.hasTimedOut = true;
    this.current?.cancel('stopping');
    this.tokenWait.abort();
  }

  private async attempt(): Promise<Next> {
    const {caller} = this.context;
    if (caller.leaving.aborted) {
      this.record.outcome = 'caller-left';
      return Next.Ended;
    }
    if (this.hasTimedOut || this.remaining() < SHORTEST_ATTEMPT_MILLISECONDS) {
      return this.giveUp(OwnReason.DeadlinePassed);
    }
    const endpoint = this.chooser.choose(this.context, this.avoided);
    if (endpoint === undefined) {
      return this.giveUp(OwnReason.NoEndpoint);
    }
    const exchange = this.dispatch(endpoint);
    const watch = this.patience.watch(endpoint, exchange, this.mayMove(), () =>
      this.claimMove(),
    );
    this.current = exchange;
    try {
      const head = await exchange.head();
      this.noteAnswer(endpoint, head, watch);
      const next = isFailure(head)
        ? this.afterFailure(endpoint, head)
        : await this.afterHead(endpoint, exchange, head, watch);
      return next;
    } finally {
      watch.close();
      this.patience.learn(watch);
      endpoint.load--;
      this.parts.dataCenters.released(endpoint.entry.dataCenter);
      this.current = undefined;
    }
  }

  /** Whether the stream may go on at another endpoint after this one. */
  private mayMove(): boolean {
    const {route} = this.context;
    return mayRepeat(route) && this.sentTo + 1 < route.maximumAttempts;
  }

  /**
   * Takes the fleet's permission to go on elsewhere. Without one, or without an
   * endpoint to go to, an answer that is only late would be cut.
   */
  private claimMove(): boolean {
    const other = this.chooser.choose(this.context, this.avoided);
    this.hasClaimedMove =
      other !== undefined &&
      !this.avoided.has(other.entry.id) &&
      this.takeResend();
    return this.hasClaimedMove;
  }

  private takeResend(): boolean {
    return this.context.resends.take(this.parts.hosts(), this.now());
  }

  private dispatch(endpoint: KnownEndpoint): EndpointExchange {
    const {caller, body, organisation} = this.context;
    const {dialect, connections} = this.parts;
    const headers = dialect.dispatchHeaders(caller.rawHeaders, {
      endpointId: endpoint.entry.id,
      organisation: organisation?.name,
      remainingMilliseconds: Math.max(1, Math.floor(this.remaining())),
      priority: this.priority(),
      lastEventId: this.record.lastEventId ?? caller.headers.lastEventId,
    });
    endpoint.load++;
    if (endpoint.trust.isOnTrial) {
      connections.dropIdle(endpoint.entry);
    } else if (!mayRepeat(this.context.route)) {
      connections.dropIdle(endpoint.entry, LONGEST_CERTAIN_IDLE_MILLISECONDS);
    }
    endpoint.trust.sent();
    this.parts.dataCenters.sent(endpoint.entry.dataCenter);
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

  /** Whatever an endpoint answers, it speaks; a refusal tells nothing of its pace. */
  private noteAnswer(
    endpoint: KnownEndpoint,
    head: AnswerHead | ExchangeFailure,
    watch: SilenceWatch,
  ): void {
    const hasRefused =
      isFailure(head) &&
      (head.fate === ExchangeFate.NotRun ||
        head.fate === ExchangeFate.WrongEndpoint);
    if (!isFailure(head)) {
      if (!head.said.closesConnection) {
        endpoint.confirmOpen(this.now() - watch.elapsedMilliseconds);
      }
      watch.answered();
    }
    if (!isFailure(head) || hasRefused) {
      endpoint.trust.spoke();
      this.parts.dataCenters.spoke(endpoint.entry.dataCenter);
    }
  }

  private afterFailure(
    endpoint: KnownEndpoint,
    failure: ExchangeFailure,
  ): Next {
    const {fate, reason} = failure;
    this.note(endpoint, `${fate}: ${reason}`);
    if (fate === ExchangeFate.NotRun) {
      endpoint.trust.released();
      return this.tryAgain(OwnReason.EndpointsRefused, true);
    }
    if (fate === ExchangeFate.WrongEndpoint) {
      this.parts.directory.remove(endpoint, reason);
      return this.tryAgain(OwnReason.EndpointsRefused, true);
    }
    if (fate === ExchangeFate.NotSent) {
      return this.afterNotSent(endpoint, failure);
    }
    this.record.mayHaveRun = true;
    return this.afterBroken(endpoint);
  }

  private afterNotSent(
    endpoint: KnownEndpoint,
    {isLinkDelay}: ExchangeFailure,
  ): Next {
    if (this.isOver() || isLinkDelay === true) {
      endpoint.trust.released();
    } else {
      const {dataCenter, id} = endpoint.entry;
      endpoint.trust.broke(this.now());
      this.parts.dataCenters.fellSilent(dataCenter, id, this.now());
    }
    this.unreachable++;
    return this.unreachable < MOST_UNREACHABLE && !this.isOver()
      ? Next.Again
      : this.giveUp(OwnReason.EndpointsUnreachable);
  }

  /** The endpoint got the request and no whole answer came back. */
  private afterBroken(endpoint: KnownEndpoint): Next {
    if (this.isOver()) {
      endpoint.trust.released();
      return this.giveUp(OwnReason.TimedOut);
    }
    endpoint.trust.broke(this.now());
    return mayRepeat(this.context.route)
      ? this.tryAgain(OwnReason.AnswerLost, false)
      : this.giveUp(OwnReason.AnswerLost);
  }

  private async afterHead(
    endpoint: KnownEndpoint,
    exchange: EndpointExchange,
    head: AnswerHead,
    watch: SilenceWatch,
  ): Promise<Next> {
    this.record.mayHaveRun = true;
    if (head.status < 300 && !head.said.hasProof) {
      exchange.cancel('success without proof');
      this.note(endpoint, 'success without proof');
      return this.afterBroken(endpoint);
    }
    const isStream =
      this.context.route.kind === RouteKind.Streaming && head.status === 200;
    return isStream
      ? this.passStream(endpoint, exchange, head, watch)
      : this.passWhole(endpoint, exchange, head);
  }

  private async passWhole(
    endpoint: KnownEndpoint,
    exchange: EndpointExchange,
    head: AnswerHead,
  ): Promise<Next> {
    const body = await exchange.wholeBody();
    if (body === undefined) {
      this.note(endpoint, exchange.failureReason);
      return this.afterBroken(endpoint);
    }
    this.note(endpoint, `answered ${head.status}`);
    if (head.status >= 500) {
      endpoint.trust.answeredFailure();
    } else {
      endpoint.trust.succeeded();
    }
    const refusal = await this.takeTokens();
    if (refusal !== undefined) {
      this.ending.refuseForBudget(refusal, this.hasTimedOut);
      return Next.Ended;
    }
    this.ending.keep({head, body, hasLength: exchange.hasLength});
    const isWorthAnother =
      head.status >= 500 && mayRepeat(this.context.route) && !this.isOver();
    return isWorthAnother
      ? this.tryAgain(OwnReason.AnswerLost, false)
      : this.giveUp(OwnReason.AnswerLost);
  }

  private async passStream(
    endpoint: KnownEndpoint,
    exchange: EndpointExchange,
    head: AnswerHead,
    watch: SilenceWatch,
  ): Promise<Next> {
    const {caller} = this.context;
    const refusal = await this.takeTokens();
    if (refusal !== undefined) {
      exchange.cancel('no tokens');
      this.note(endpoint, `no tokens: ${refusal}`);
      endpoint.trust.succeeded();
      this.ending.refuseForBudget(refusal, this.hasTimedOut);
      return Next.Ended;
    }
    if (!caller.isAnswering) {
      caller.beginStream(
        head.status,
        this.parts.dialect.answerHeaders(head.rawHeaders),
      );
      this.record.status = head.status;
    }
    watch.reading();
    const end = await relayStream(exchange, caller, this.record, watch, () =>
      this.now(),
    );
    if (end === RelayEnd.Whole) {
      this.note(endpoint, 'whole stream');
      endpoint.trust.succeeded();
      caller.endStream();
      this.record.outcome = 'answered';
      return Next.Ended;
    }
    exchange.cancel('not needed any more');
    this.note(endpoint, `${end}: ${exchange.failureReason}`);
    if (end === RelayEnd.CallerLeft) {
      endpoint.trust.released();
      this.record.outcome = 'caller-left';
      return Next.Ended;
    }
    return this.afterBroken(endpoint);
  }

  /** Takes the tokens that were promised; waits while others may still give them. */
  private takeTokens(): Promise<BudgetRefusal | undefined> {
    return this.budget.take(
      {
        milliseconds: Math.max(0, this.remaining()),
        signal: this.tokenWait.signal,
      },
      () => this.now(),
    );
  }

  /** Another endpoint, where the route, the fleet's bound and the time allow it. */
  private tryAgain(reason: OwnReason, isNotRun: boolean): Next {
    this.sentTo++;
    const {route} = this.context;
    const hasClaimed = this.hasClaimedMove;
    this.hasClaimedMove = false;
    const mayResend =
      !this.isOver() &&
      this.sentTo < route.maximumAttempts &&
      this.remaining() > SHORTEST_ATTEMPT_MILLISECONDS &&
      (isNotRun || mayRepeat(route)) &&
      (hasClaimed || this.takeResend());
    return mayResend ? Next.Again : this.giveUp(reason);
  }

  private giveUp(reason: OwnReason): Next {
    this.ending.giveUp(reason, this.hasTimedOut);
    return Next.Ended;
  }

  private priority(): number {
    const {organisation, route} = this.context;
    const routeLevel = Math.min(route.priority, ROUTE_LEVELS - 1);
    const level = (organisation?.priority ?? 0) * ROUTE_LEVELS + routeLevel;
    return Math.min(LAST_PRIORITY, Math.max(0, level));
  }

  private note(endpoint: KnownEndpoint, result: string): void {
    this.record.attempts.push({
      endpoint: endpoint.entry.id,
      atMilliseconds: Math.round(this.now() - this.context.caller.arrivedAt),
      result,
    });
  }

  /** The caller has left or its time is over: no endpoint is to blame. */
  private isOver(): boolean {
    return this.hasTimedOut || this.context.caller.leaving.aborted;
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
