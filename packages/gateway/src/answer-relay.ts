import {RouteKind} from './configuration.js';
import type {SuspectRegistry} from './crashes/index.js';
import type {Dialect} from './dialect.js';
import type {EndpointAttempt} from './endpoint-attempt.js';
import {
  AnswerFraming,
  type AnswerHead,
  type EndpointExchange,
} from './endpoint-exchange.js';
import {endsInsideJson, isJsonType} from './json-ending.js';
import {RequestStage} from './open-requests/index.js';
import type {RequestBudget} from './request-budget.js';
import type {RequestCompletion} from './request-completion.js';
import type {RequestContext} from './request-context.js';
import type {RequestLifetime} from './request-lifetime.js';
import type {RequestRecord} from './request-record.js';
import {goesOnAfter, RelayResult, relayStream} from './stream-relay.js';
import type {FirstRun} from './stream-origins/index.js';
import type {BudgetRefusal} from './token-waiters.js';

/** Longest time for which events wait for what tells which build sent them. */
const MAXIMUM_CONFIRMATION_MILLISECONDS = 1_500;
const CONFIRMATION_POLL_MILLISECONDS = 10;

/** How an endpoint's answer ended for its request. */
export enum AnswerResult {
  /** The request has ended. */
  Ended,
  /** The answer is not complete. */
  Broken,
  /** The answer is complete, and is sent unless another attempt is better. */
  Answered,
  /** As `Answered`, but the endpoint answered that it failed. */
  Failed,
}

/** Relays the answers of a request's attempts to its caller. */
export class AnswerRelay {
  constructor(
    private readonly dialect: Dialect,
    private readonly context: RequestContext,
    private readonly budget: RequestBudget,
    private readonly record: RequestRecord,
    private readonly completion: RequestCompletion,
    private readonly lifetime: RequestLifetime,
    private readonly suspects: SuspectRegistry,
    private readonly readList: () => Promise<boolean>,
  ) {}

  /**
   * Relays the answer that begins with `head`.
   *
   * @param isFromCopy Whether the run goes on from a copy, which an endpoint that has
   *     started again no longer has.
   */
  async relay(
    attempt: EndpointAttempt,
    head: AnswerHead,
    isFromCopy: boolean,
  ): Promise<AnswerResult> {
    this.record.mayHaveRun = true;
    if (head.status < 300 && !head.endpointHeaders.hasProof) {
      attempt.exchange.cancel('success status without endpoint proof');
      attempt.ended('success status without endpoint proof');
      return AnswerResult.Broken;
    }
    return this.isStream(head)
      ? this.relayEventStream(attempt, head, isFromCopy)
      : this.relayBufferedAnswer(attempt, head);
  }

  /** Resolves with whether an answer may be passed on after what was delivered. */
  async mayPassOn(
    attempt: EndpointAttempt,
    head: AnswerHead,
  ): Promise<boolean> {
    return this.mayFollow(head) && (await this.confirm(attempt));
  }

  /** Whether an answer of this status may follow what was delivered. */
  mayFollow({status, endpointHeaders}: AnswerHead): boolean {
    const isAnswer = this.context.caller.isAnswering
      ? status === 200
      : status < 500;
    return isAnswer && (status >= 300 || endpointHeaders.hasProof);
  }

  /**
   * Resolves with whether an answer goes on with what was delivered, as far as it has
   * arrived. What was read is held until the answer is relayed.
   */
  async goesOn(
    {exchange}: EndpointAttempt,
    head: AnswerHead,
  ): Promise<boolean> {
    if (this.isStream(head)) {
      return goesOnAfter(this.record.lastEventId, exchange);
    }
    await exchange.readBeginning(() => false);
    // The silent endpoint may have begun a stream meanwhile.
    return !exchange.hasFailed && this.mayFollow(head);
  }

  /** Whether an answer is sent as a whole, and is no failure of its endpoint. */
  isBufferedAnswer(head: AnswerHead): boolean {
    return head.status < 500 && !this.isStream(head);
  }

  private isStream({status}: AnswerHead): boolean {
    return this.context.route.kind === RouteKind.Streaming && status === 200;
  }

  private async relayBufferedAnswer(
    attempt: EndpointAttempt,
    head: AnswerHead,
  ): Promise<AnswerResult> {
    const {exchange, breaker} = attempt;
    const body = await exchange.readBody();
    if (body === undefined) {
      attempt.answerEnded(exchange.failureReason);
      return AnswerResult.Broken;
    }
    // A failure means what its status says, whatever came of its body.
    if (head.status < 300 && endsInside(body, exchange)) {
      attempt.answerEnded('ends inside its JSON value');
      return AnswerResult.Broken;
    }
    attempt.answerEnded(`answered ${head.status}`);
    if (head.status >= 500) {
      breaker.recordFailedAnswer();
    } else {
      breaker.recordSuccess();
    }
    const refusal = await this.acquireTokens();
    if (refusal !== undefined) {
      this.completion.refuseForBudget(refusal, this.lifetime.hasTimedOut);
      return AnswerResult.Ended;
    }
    this.completion.setFallback({
      head,
      body,
      framing: exchange.framing,
      held: exchange.takeHeld(),
    });
    return head.status >= 500 ? AnswerResult.Failed : AnswerResult.Answered;
  }

  private async relayEventStream(
    attempt: EndpointAttempt,
    head: AnswerHead,
    isFromCopy: boolean,
  ): Promise<AnswerResult> {
    const {exchange, breaker, monitor} = attempt;
    const {caller} = this.context;
    if (this.budget.isPromised) {
      // The wait for tokens is not the engine's.
      attempt.admission?.began(this.lifetime.now());
    }
    const refusal = await this.acquireTokens();
    if (refusal !== undefined) {
      exchange.cancel('tokens refused');
      attempt.ended(`tokens refused: ${refusal}`);
      breaker.recordSuccess();
      this.completion.refuseForBudget(refusal, this.lifetime.hasTimedOut);
      return AnswerResult.Ended;
    }
    if (!caller.isAnswering) {
      caller.beginStream(
        head.status,
        this.dialect.answerHeaders(head.rawHeaders),
      );
      this.record.status = head.status;
    }
    monitor.bodyStarted();
    const result = await relayStream(
      attempt,
      caller,
      this.record,
      () => this.lifetime.now(),
      {
        mayPassOn: () => isFromCopy || this.mayPassOnRun(attempt),
        firstEvent: () => {
          attempt.admission?.began(this.lifetime.now());
          // Kept for longer than the attempt, whose buffers must not be.
          this.context.binding.bind(runOf(attempt));
        },
        outlivedCrash: () => {
          this.suspects.requestAnswered(this.context.identity, this.record);
        },
      },
    );
    if (result === RelayResult.Complete) {
      attempt.answerEnded('complete stream');
      breaker.recordSuccess();
      caller.endStream();
      this.record.outcome = 'answered';
      return AnswerResult.Ended;
    }
    exchange.cancel('stream no longer relayed');
    attempt.answerEnded(`${result}: ${exchange.failureReason}`);
    if (result === RelayResult.CallerLeft) {
      breaker.requestEnded();
      this.record.outcome = 'caller-left';
      return AnswerResult.Ended;
    }
    return AnswerResult.Broken;
  }

  private mayPassOnRun(attempt: EndpointAttempt): true | Promise<boolean> {
    return (
      this.context.binding.mayPassOn(runOf(attempt)) === true ||
      this.confirm(attempt)
    );
  }

  /** Resolves with whether a run is at the build that began the stream. */
  private async confirm(attempt: EndpointAttempt): Promise<boolean> {
    const {context, lifetime} = this;
    const run = runOf(attempt);
    const until = lifetime.now() + MAXIMUM_CONFIRMATION_MILLISECONDS;
    let mayPassOn = context.binding.mayPassOn(run);
    if (mayPassOn === undefined) {
      void this.readList();
    }
    while (
      mayPassOn === undefined &&
      !lifetime.isAbandoned &&
      !attempt.exchange.wasCancelled &&
      lifetime.now() < until
    ) {
      await lifetime.sleep(CONFIRMATION_POLL_MILLISECONDS);
      mayPassOn = context.binding.mayPassOn(run);
    }
    return mayPassOn === true && !attempt.exchange.wasCancelled;
  }

  /**
   * Acquires the tokens reserved for this request; waits while other holders
   * may still provide them.
   */
  private acquireTokens(): Promise<BudgetRefusal | undefined> {
    const {lifetime} = this;
    this.context.caller.progress.stage = RequestStage.Tokens;
    return this.budget.acquireTokens(
      {
        milliseconds: Math.max(0, lifetime.remaining()),
        signal: lifetime.waitSignal,
      },
      () => lifetime.now(),
    );
  }
}

function runOf({endpoint, path, exchange}: EndpointAttempt): FirstRun {
  return {endpoint, path, openSince: exchange.openSince};
}

/**
 * Whether a body breaks off. The end of a connection doesn't show that an answer
 * without a length is complete; its content may show that it isn't.
 */
function endsInside(
  body: Buffer,
  {framing, contentType}: EndpointExchange,
): boolean {
  return (
    framing === AnswerFraming.UntilClose &&
    isJsonType(contentType) &&
    endsInsideJson(body.toString())
  );
}
