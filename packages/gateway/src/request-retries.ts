import {AnswerResult} from './answer-relay.js';
import type {RunContinuation} from './continuation/index.js';
import type {CrashDetector, SuspectRegistry} from './crashes/index.js';
import type {EndpointAttempt} from './endpoint-attempt.js';
import type {ChosenEndpoint, EndpointChooser} from './endpoint-chooser.js';
import type {EndpointDirectory} from './endpoint-directory.js';
import {
  ConnectionOrigin,
  FailureKind,
  isFailure,
  type AnswerHead,
  type ExchangeFailure,
} from './endpoint-exchange.js';
import type {EndpointPath} from './endpoint-path.js';
import type {KnownEndpoint} from './known-endpoint.js';
import {
  LocalReplyReason,
  OTHER_HOST_RETRY_AFTER_MILLISECONDS,
} from './local-reply.js';
import type {RequestCompletion} from './request-completion.js';
import {isRepeatable, type RequestContext} from './request-context.js';
import type {RequestLifetime} from './request-lifetime.js';
import type {RequestRecord} from './request-record.js';
import type {ServicePaths} from './service-paths.js';

/**
 * What to do after an attempt: the request has ended, or another endpoint is
 * tried.
 */
export enum NextStep {
  Ended,
  Retry,
}

/** Dependencies of `RequestRetries`. */
export interface RequestRetriesParts {
  readonly context: RequestContext;
  readonly record: RequestRecord;
  readonly completion: RequestCompletion;
  readonly lifetime: RequestLifetime;
  readonly chooser: EndpointChooser;
  readonly directory: EndpointDirectory;
  readonly paths: ServicePaths;
  readonly crashes: CrashDetector;
  readonly suspects: SuspectRegistry;
  readonly continuation: RunContinuation;
  /** Makes a standby the next attempt; returns whether there is one. */
  readonly promoteStandby: () => boolean;
  /** Takes a resend from the budget; returns whether there was one. */
  readonly claimResend: () => boolean;
  /** Gives back a resend that was not used. */
  readonly returnResend: () => void;
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
 * Refusals of a stream that its caller has in part which don't use up its attempts, as
 * nothing has run.
 */
const MAXIMUM_UNCOUNTED_REFUSALS = 3;

/** Decides what follows each attempt of one request. */
export class RequestRetries {
  /** Identifiers of the endpoints that the request was sent to. */
  readonly avoided = new Set<string>();
  private attemptCount = 0;
  private unreachableCount = 0;
  private uncountedRefusals = 0;
  private hasClaimedFailover = false;
  private hasClaimedReturn = false;
  private path: EndpointPath | undefined;
  /** The endpoint whose run was last given up for that of another one. */
  private givenUp: KnownEndpoint | undefined;
  private returnsTo: ChosenEndpoint | undefined;

  constructor(private readonly parts: RequestRetriesParts) {}

  /** Whether enough time is left for an attempt. */
  get mayAttempt(): boolean {
    const {lifetime} = this.parts;
    return (
      !lifetime.hasTimedOut &&
      lifetime.remaining() >= MINIMUM_ATTEMPT_MILLISECONDS
    );
  }

  /** Whether another attempt may follow what this one has done and delivered. */
  get mayGoOn(): boolean {
    const {suspects, context, record} = this.parts;
    return record.canGoOn && suspects.mayResend(context.identity);
  }

  /** Records where an attempt is made. Each path has tries of its own. */
  attemptBegins(endpointId: string, path: EndpointPath): void {
    if (path !== this.path) {
      this.unreachableCount = 0;
    }
    this.path = path;
    this.avoided.add(endpointId);
  }

  /**
   * The endpoint that the next attempt returns to; undefined if it goes to another one.
   */
  takeReturn(): ChosenEndpoint | undefined {
    const {returnsTo} = this;
    this.returnsTo = undefined;
    return returnsTo;
  }

  /**
   * Whether the request may fail over to another endpoint after this attempt.
   *
   * @param openAttempts Number of attempts that have not ended, this one included.
   */
  canFailOver(openAttempts = 1): boolean {
    const {route, isTry} = this.parts.context;
    return (
      isRepeatable(route) &&
      !isTry &&
      this.mayGoOn &&
      this.attemptCount + openAttempts < route.maximumAttempts
    );
  }

  /**
   * Claims a resend from the fleet-wide budget for a failover. Without one, or
   * without another endpoint, cancelling an answer that is only late would cut
   * it.
   */
  claimFailover(): boolean {
    const {context} = this.parts;
    this.hasClaimedFailover =
      this.hasUntriedEndpoint() &&
      this.canFailOver() &&
      (context.caller.isAnswering || context.mayBegin()) &&
      (this.hasClaimedFailover || this.parts.claimResend());
    return this.hasClaimedFailover;
  }

  /**
   * Claims a standby beside a silent attempt. One whose endpoint could not be reached,
   * or was given up for another, leaves its resend to the next.
   */
  claimStandby(): boolean {
    const hasClaimed = this.mayAttempt && this.claimFailover();
    this.hasClaimedFailover = false;
    return hasClaimed;
  }

  /**
   * Claims a resend for the way back to a silent endpoint, before it is given up for one
   * that has not begun to answer.
   */
  claimReturn(): boolean {
    this.hasClaimedReturn ||= this.parts.claimResend();
    return this.hasClaimedReturn;
  }

  /** Records that an endpoint has begun to answer, so that no way back is needed. */
  answerBegan(): void {
    if (this.hasClaimedReturn) {
      this.hasClaimedReturn = false;
      this.parts.returnResend();
    }
  }

  /**
   * Records that a standby did not take the request over.
   *
   * @returns Whether another one should begin at once.
   */
  standbyFailed(
    attempt: EndpointAttempt,
    head: AnswerHead | ExchangeFailure,
  ): boolean {
    const {breaker} = attempt;
    const {context, record} = this.parts;
    if (!isFailure(head)) {
      this.attemptCount++;
      record.mayHaveRun = true;
      const {failureReason, wasClosedByEndpoint} = attempt.exchange;
      attempt.ended(
        `answered ${head.status}, not taken over: ${failureReason}`,
      );
      if (head.status >= 500) {
        breaker.recordFailedAnswer();
      } else if (wasClosedByEndpoint) {
        this.recordBroken(attempt);
      } else {
        breaker.requestEnded();
      }
      return false;
    }
    attempt.ended(`${head.kind}: ${head.reason}`);
    switch (head.kind) {
      case FailureKind.NotRun:
        breaker.requestEnded();
        if (context.caller.isAnswering) {
          return false;
        }
        this.attemptCount++;
        return true;
      case FailureKind.WrongEndpoint:
        this.parts.directory.remove(attempt.endpoint, head.reason);
        return false;
      case FailureKind.NotSent:
        this.recordNotSent(attempt, head);
        this.hasClaimedFailover = head.hasNoPath !== true;
        return this.hasClaimedFailover && head.shortage === undefined;
      case FailureKind.Unknown:
        this.attemptCount++;
        record.mayHaveRun = true;
        this.recordBroken(attempt);
        return this.hasClaimedFailover;
    }
  }

  /** Records that a standby took the request over from a silent endpoint. */
  standbyTookOver({endpoint}: EndpointAttempt): void {
    this.givenUp = endpoint;
  }

  /** Records that a standby was cancelled, which its endpoint is not at fault for. */
  standbyCancelled(attempt: EndpointAttempt, reason: string): void {
    attempt.ended(`cancelled: ${reason}`);
    attempt.breaker.requestEnded();
    if (attempt.exchange.connectionOrigin !== ConnectionOrigin.None) {
      this.attemptCount++;
      this.givenUp = attempt.endpoint;
      this.parts.record.mayHaveRun = true;
    }
  }

  /** Decides what follows an attempt without an answer to forward. */
  afterFailure(attempt: EndpointAttempt, failure: ExchangeFailure): NextStep {
    const {kind, reason} = failure;
    attempt.ended(`${kind}: ${reason}`);
    if (kind === FailureKind.NotRun) {
      attempt.breaker.requestEnded();
      if (this.parts.continuation.isContinued) {
        this.parts.continuation.copyMissing();
        return this.afterLostRun();
      }
      return this.retryOrGiveUp(LocalReplyReason.EndpointsRefused, true);
    }
    if (kind === FailureKind.WrongEndpoint) {
      this.parts.directory.remove(attempt.endpoint, reason);
      if (this.parts.continuation.isContinued) {
        this.parts.continuation.copyMissing();
        return this.afterLostRun();
      }
      return this.retryOrGiveUp(LocalReplyReason.EndpointsRefused, true);
    }
    if (kind === FailureKind.NotSent) {
      return this.afterNotSent(attempt, failure);
    }
    this.parts.record.mayHaveRun = true;
    return this.afterBroken(attempt);
  }

  /** Decides what follows an answer. */
  afterAnswer(attempt: EndpointAttempt, result: AnswerResult): NextStep {
    const {context, lifetime} = this.parts;
    switch (result) {
      case AnswerResult.Ended:
        return NextStep.Ended;
      case AnswerResult.Broken:
        return this.afterBroken(attempt);
      case AnswerResult.Answered:
        return this.giveUp(LocalReplyReason.AnswerLost);
      case AnswerResult.Failed:
        return isRepeatable(context.route) && !lifetime.isAbandoned
          ? this.retryOrGiveUp(LocalReplyReason.AnswerLost, false)
          : this.giveUp(LocalReplyReason.AnswerLost);
    }
  }

  /**
   * Ends the request with the best answer that there is.
   *
   * @param retryAfterMilliseconds When its caller should come back if it has not run;
   *     by default soon.
   */
  giveUp(reason: LocalReplyReason, retryAfterMilliseconds?: number): NextStep {
    const {completion, lifetime} = this.parts;
    completion.giveUp(reason, lifetime.hasTimedOut, retryAfterMilliseconds);
    return NextStep.Ended;
  }

  private afterNotSent(
    attempt: EndpointAttempt,
    failure: ExchangeFailure,
  ): NextStep {
    const {context, lifetime, paths} = this.parts;
    const {path} = attempt;
    this.recordNotSent(attempt, failure);
    const hasCopy = this.parts.continuation.hasNext;
    if (!lifetime.isAbandoned && !hasCopy && this.parts.promoteStandby()) {
      return NextStep.Retry;
    }
    if (this.parts.continuation.isContinued) {
      this.parts.continuation.afterNotSent();
      return this.afterLostRun();
    }
    if (failure.hasNoPath === true) {
      return this.giveUp(LocalReplyReason.EndpointsUnreachable);
    }
    this.unreachableCount++;
    // The host may have lost this path during the attempt, and there is another one.
    const hasOtherPath = path !== paths.pathTo(context.service.name);
    const maximum = (hasOtherPath ? 2 : 1) * MAXIMUM_UNREACHABLE_ENDPOINTS;
    const mayRetry =
      this.unreachableCount < maximum &&
      this.attemptCount < context.route.maximumAttempts &&
      !lifetime.isAbandoned;
    if (mayRetry) {
      return NextStep.Retry;
    }
    return failure.shortage === undefined
      ? this.giveUp(LocalReplyReason.EndpointsUnreachable)
      : this.leadToOtherHost();
  }

  /** Ends the request, and its connection, as this host lacks what other hosts have. */
  private leadToOtherHost(): NextStep {
    const {caller} = this.parts.context;
    if (!caller.isAnswering) {
      caller.disableKeepAlive();
    }
    return this.giveUp(
      LocalReplyReason.HostShort,
      OTHER_HOST_RETRY_AFTER_MILLISECONDS,
    );
  }

  private recordNotSent(
    {endpoint, path, breaker}: EndpointAttempt,
    {mayBeLinkDelay, hasNoPath, shortage}: ExchangeFailure,
  ): void {
    const {lifetime} = this.parts;
    const isOwnFailure =
      hasNoPath === true || mayBeLinkDelay === true || shortage !== undefined;
    if (isOwnFailure || lifetime.isAbandoned) {
      breaker.requestEnded();
      return;
    }
    const {dataCenter, id} = endpoint.entry;
    const now = lifetime.now();
    breaker.recordConnectionFailure(now);
    path.dataCenters.recordSilence(dataCenter, id, now);
  }

  private recordBroken(attempt: EndpointAttempt): void {
    const {context, lifetime, record, crashes} = this.parts;
    attempt.breaker.recordConnectionFailure(lifetime.now());
    record.identity = context.identity.digest;
    crashes.answerBroke(attempt);
  }

  /** Handles a request that reached the endpoint but got no complete answer. */
  private afterBroken(attempt: EndpointAttempt): NextStep {
    const {lifetime, continuation} = this.parts;
    const {breaker} = attempt;
    if (lifetime.isAbandoned) {
      breaker.requestEnded();
      return this.giveUp(LocalReplyReason.TimedOut);
    }
    if (continuation.hasStopped && this.mayGoOn) {
      breaker.requestEnded();
      continuation.afterStop();
      return this.afterLostRun();
    }
    this.recordBroken(attempt);
    if (!this.mayGoOn) {
      return this.giveUp(LocalReplyReason.AnswerLost);
    }
    continuation.afterLoss(attempt);
    return this.afterLostRun();
  }

  /** Goes on from a copy, or begins anew a request that may run more than once. */
  afterLostRun(): NextStep {
    if (this.parts.continuation.hasNext) {
      return NextStep.Retry;
    }
    return isRepeatable(this.parts.context.route)
      ? this.retryOrGiveUp(LocalReplyReason.AnswerLost, false)
      : this.giveUp(LocalReplyReason.AnswerLost);
  }

  /**
   * Retries at another endpoint if the route, the fleet's resend budget and the
   * remaining time allow it.
   */
  private retryOrGiveUp(reason: LocalReplyReason, isNotRun: boolean): NextStep {
    this.countAttempt(isNotRun);
    const {context, lifetime, chooser} = this.parts;
    const {route} = context;
    if (!lifetime.isAbandoned && this.parts.promoteStandby()) {
      return NextStep.Retry;
    }
    const hasClaimed = this.hasClaimedFailover || this.hasClaimedReturn;
    this.hasClaimedFailover = false;
    this.hasClaimedReturn = false;
    if (context.binding.isBound && !chooser.mayChoose(context)) {
      return this.giveUp(LocalReplyReason.BuildGone);
    }
    const returnsTo =
      this.attemptCount < route.maximumAttempts
        ? undefined
        : this.returnToGivenUp();
    const mayResend =
      !lifetime.isAbandoned &&
      !context.isTry &&
      (this.attemptCount < route.maximumAttempts || returnsTo !== undefined) &&
      lifetime.remaining() > MINIMUM_ATTEMPT_MILLISECONDS &&
      (isNotRun || isRepeatable(route)) &&
      (hasClaimed || this.parts.claimResend());
    if (!mayResend) {
      return this.giveUp(reason);
    }
    this.returnsTo = returnsTo;
    return NextStep.Retry;
  }

  private hasUntriedEndpoint(): boolean {
    const {chooser, context} = this.parts;
    const chosen = chooser.choose(context, this.avoided);
    return chosen !== undefined && !this.avoided.has(chosen.endpoint.entry.id);
  }

  private countAttempt(isNotRun: boolean): void {
    const {context} = this.parts;
    if (
      isNotRun &&
      context.caller.isAnswering &&
      this.uncountedRefusals < MAXIMUM_UNCOUNTED_REFUSALS &&
      this.hasUntriedEndpoint()
    ) {
      this.uncountedRefusals++;
    } else {
      this.attemptCount++;
    }
  }

  /**
   * The endpoint whose run was given up, if the request may return to it, which adds no
   * endpoint to those that it runs at; at most once for each that is given up.
   */
  private returnToGivenUp(): ChosenEndpoint | undefined {
    const {chooser, context} = this.parts;
    const {givenUp} = this;
    this.givenUp = undefined;
    return givenUp && chooser.continueAt(context, givenUp);
  }
}
