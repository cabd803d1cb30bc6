import {
  failsMoreThanOthers,
  placeRequest,
  type PlacementCandidate,
  type PromptSize,
} from '@wisteriadeal/decisions';
import type {Clock} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';

import {RouteKind} from './configuration.js';
import type {Dialect} from './dialect.js';
import type {EndpointConnections} from './endpoint-connections.js';
import type {EndpointDirectory, KnownEndpoint} from './endpoint-directory.js';
import {
  EndpointExchange,
  ExchangeFate,
  isFailure,
  type AnswerHead,
  type ExchangeFailure,
} from './endpoint-exchange.js';
import {failed, notRun, OwnReason, type OwnAnswer} from './own-answer.js';
import {mayRepeat, type RequestContext} from './request-context.js';
import type {RequestRecord} from './request-record.js';
import {
  RelayEnd,
  relayStream,
  SilenceWatch,
  type SilenceLimits,
} from './stream-relay.js';

/** What all runs of a process share. */
export interface RunParts {
  readonly dialect: Dialect;
  readonly connections: EndpointConnections;
  readonly directory: EndpointDirectory;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly dataCenter: string;
  /** Hosts that share the bound on resends. */
  hosts(): number;
}

/** An endpoint's answer that was read to its end. */
interface WholeAnswer {
  readonly head: AnswerHead;
  readonly body: Buffer;
  readonly hasLength: boolean;
}

/** What follows an attempt: the request has ended, or another endpoint is tried. */
enum Next {
  Ended,
  Again,
}

/** Unreachable endpoints are passed over so often; each try costs up to 250 ms. */
const MOST_UNREACHABLE = 3;
/** Less time than this is not worth another attempt, milliseconds. */
const SHORTEST_ATTEMPT_MILLISECONDS = 20;
/** Before the first event a resumable stream is moved after this many goals... */
const FIRST_SILENCE_GOALS = 1.5;
/** ... and after so many times what the service takes now for such a prompt. */
const FIRST_SILENCE_EXPECTED = 3;
/** Between events a resumable stream is moved after this many wanted pauses. */
const NEXT_SILENCE_PAUSES = 3;
/** Silence shorter than this is no reason to move a stream, milliseconds. */
const SHORTEST_SILENCE_MILLISECONDS = 900;
/** A service without a free endpoint is worth asking again after this long. */
const RETRY_AFTER_MILLISECONDS = 300;
/** A tenant's urgency goes before a route's; ten levels are left to endpoints. */
const ROUTE_LEVELS = 3;
const LAST_PRIORITY = 9;

/** Takes one request to endpoints until it has a final answer. */
export class RequestRun {
  private readonly avoided = new Set<string>();
  private sentTo = 0;
  private unreachable = 0;
  /** A whole failure of an endpoint, passed on if nothing better comes. */
  private fallback: WholeAnswer | undefined;
  private current: EndpointExchange | undefined;
  private hasTimedOut = false;

  constructor(
    private readonly parts: RunParts,
    private readonly context: RequestContext,
    private readonly record: RequestRecord,
  ) {}

  /** Ends when the caller has its answer, was told why not, or has left. */
  async run(): Promise<void> {
    const {caller, deadlineAt} = this.context;
    const onLeave = () => this.current?.cancel('caller left');
    caller.leaving.addEventListener('abort', onLeave);
    const timer = setTimeout(
      () => {
        this.hasTimedOut = true;
        this.current?.cancel('deadline');
      },
      Math.max(0, deadlineAt - this.now()),
    );
    try {
      while ((await this.attempt()) === Next.Again) {
        // The next endpoint is chosen afresh.
      }
    } finally {
      clearTimeout(timer);
      caller.leaving.removeEventListener('abort', onLeave);
    }
  }

  private async attempt(): Promise<Next> {
    const {caller} = this.context;
    if (caller.leaving.aborted) {
      this.record.outcome = 'caller-left';
      return Next.Ended;
    }
    if (this.remaining() < SHORTEST_ATTEMPT_MILLISECONDS) {
      return this.giveUp(OwnReason.DeadlinePassed);
    }
    const endpoint = this.place();
    if (endpoint === undefined) {
      return this.giveUp(OwnReason.NoEndpoint);
    }
    const exchange = this.dispatch(endpoint);
    const watch = this.watch(endpoint, exchange);
    this.current = exchange;
    try {
      const head = await exchange.head();
      const next = isFailure(head)
        ? this.afterFailure(endpoint, head)
        : await this.afterHead(endpoint, exchange, head, watch);
      return next;
    } finally {
      watch.close();
      this.learn(watch);
      endpoint.load--;
      this.current = undefined;
    }
  }

  /**
   * Watches for silence. A stream that may be moved is; one that may not still tells
   * of its endpoint. Load: an engine goes dark, and a third of the streams may run
   * once only. Harm without the latter: it gets more of them until their callers
   * leave, two seconds later.
   */
  private watch(
    endpoint: KnownEndpoint,
    exchange: EndpointExchange,
  ): SilenceWatch {
    const onSilence = this.mayMove()
      ? () => {
          exchange.cancel('silent');
        }
      : () => {
          endpoint.trust.broke(this.now());
        };
    return new SilenceWatch(this.silenceLimits(), this.parts.clock, onSilence);
  }

  /** Whether the stream may go on at another endpoint after this one. */
  private mayMove(): boolean {
    const {route} = this.context;
    return mayRepeat(route) && this.sentTo + 1 < route.maximumAttempts;
  }

  /** Takes note of how long the first event of a stream took, or did not come. */
  private learn(watch: SilenceWatch): void {
    const {route, firstEvents} = this.context;
    if (route.kind !== RouteKind.Streaming) {
      return;
    }
    if (watch.firstMilliseconds === undefined) {
      firstEvents.missed(this.promptSize(), watch.elapsedMilliseconds);
    } else {
      firstEvents.came(this.promptSize(), watch.firstMilliseconds);
    }
  }

  private promptSize(): PromptSize {
    const {promptParts, promptTokens} = this.context.caller.headers;
    return {ownTokens: promptParts.at(-1)?.tokens ?? promptTokens};
  }

  private place(): KnownEndpoint | undefined {
    const {route, service, caller} = this.context;
    const now = this.now();
    const open = this.parts.directory.openEndpoints(service.name);
    const shares = open.map(({trust}) => trust.failedShare);
    const candidates = open.map(
      (
        endpoint,
      ): PlacementCandidate & {
        readonly endpoint: KnownEndpoint;
      } => ({
        endpoint,
        id: endpoint.entry.id,
        dataCenter: endpoint.entry.dataCenter,
        slots: endpoint.entry.slots,
        load: endpoint.load,
        isTrusted:
          endpoint.trust.isTrusted(now) &&
          !failsMoreThanOthers(endpoint.trust.failedShare, shares),
      }),
    );
    const shared =
      route.kind === RouteKind.Streaming
        ? (caller.headers.promptParts.at(-2)?.id ?? '')
        : undefined;
    const chosen = placeRequest(
      {
        sharedPart: shared,
        dataCenter: this.parts.dataCenter,
        avoided: this.avoided,
      },
      candidates,
    );
    return candidates.find(candidate => candidate === chosen)?.endpoint;
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
    endpoint.trust.sent();
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
      return this.afterNotSent(endpoint);
    }
    this.record.mayHaveRun = true;
    return this.afterBroken(endpoint);
  }

  private afterNotSent(endpoint: KnownEndpoint): Next {
    if (!this.isOver()) {
      endpoint.trust.broke(this.now());
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
    this.fallback = {head, body, hasLength: exchange.hasLength};
    const isWorthAnother =
      head.status >= 500 && mayRepeat(this.context.route) && !this.isOver();
    return isWorthAnother
      ? this.tryAgain(OwnReason.AnswerLost, false)
      : this.answerFallback(this.fallback);
  }

  private async passStream(
    endpoint: KnownEndpoint,
    exchange: EndpointExchange,
    head: AnswerHead,
    watch: SilenceWatch,
  ): Promise<Next> {
    const {caller} = this.context;
    if (!caller.isAnswering) {
      caller.beginStream(
        head.status,
        this.parts.dialect.answerHeaders(head.rawHeaders),
      );
      this.record.status = head.status;
    }
    const end = await relayStream(exchange, caller, this.record, watch);
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

  /** Another endpoint, where the route, the fleet's bound and the time allow it. */
  private tryAgain(reason: OwnReason, isNotRun: boolean): Next {
    this.sentTo++;
    const {route, resends} = this.context;
    const mayResend =
      !this.isOver() &&
      this.sentTo < route.maximumAttempts &&
      this.remaining() > SHORTEST_ATTEMPT_MILLISECONDS &&
      (isNotRun || mayRepeat(route)) &&
      resends.take(this.parts.hosts(), this.now());
    return mayResend ? Next.Again : this.giveUp(reason);
  }

  private giveUp(reason: OwnReason): Next {
    const {caller} = this.context;
    if (caller.leaving.aborted) {
      this.record.outcome = 'caller-left';
    } else if (caller.isAnswering) {
      caller.breakOff();
      this.record.outcome = `cut: ${reason}`;
    } else if (this.fallback !== undefined) {
      this.answerFallback(this.fallback);
    } else {
      this.answerOwn(this.ownAnswer(reason));
    }
    return Next.Ended;
  }

  private ownAnswer(reason: OwnReason): OwnAnswer {
    if (!this.record.mayHaveRun) {
      return notRun(reason, RETRY_AFTER_MILLISECONDS);
    }
    return this.hasTimedOut
      ? failed(504, OwnReason.TimedOut)
      : failed(502, reason);
  }

  private answerOwn(answer: OwnAnswer): void {
    this.context.caller.answerOwn(answer);
    this.record.status = answer.status;
    this.record.outcome = `own: ${answer.reason}`;
  }

  private answerFallback({head, body, hasLength}: WholeAnswer): Next {
    const {caller} = this.context;
    const headers = this.parts.dialect.answerHeaders(head.rawHeaders);
    if (hasLength) {
      caller.answer(head.status, headers, body);
    } else {
      caller.answerUntilClose(head.status, headers, body);
    }
    this.record.hasDelivered = true;
    this.record.status = head.status;
    this.record.outcome = 'answered';
    return Next.Ended;
  }

  private silenceLimits(): SilenceLimits | undefined {
    const {route, firstEvents} = this.context;
    if (route.kind !== RouteKind.Streaming) {
      return undefined;
    }
    return {
      firstMilliseconds: firstEvents.limit(this.promptSize(), {
        shortestMilliseconds: Math.max(
          SHORTEST_SILENCE_MILLISECONDS,
          FIRST_SILENCE_GOALS * route.goalMilliseconds,
        ),
        expectedFactor: FIRST_SILENCE_EXPECTED,
      }),
      nextMilliseconds: this.mayMove()
        ? Math.max(
            SHORTEST_SILENCE_MILLISECONDS,
            NEXT_SILENCE_PAUSES * route.pauseGoalMilliseconds,
          )
        : undefined,
    };
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
