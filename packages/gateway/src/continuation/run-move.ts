import {NetworkTimeout} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';

import type {Dialect} from '../dialect.js';
import type {EndpointAttempt} from '../endpoint-attempt.js';
import type {EndpointConnectionPool} from '../endpoint-connection-pool.js';
import type {KnownEndpoint} from '../known-endpoint.js';
import {AnswerFraming} from '../endpoint-exchange.js';
import type {GatewayMetrics} from '../gateway-metrics.js';
import {ContinuationEvent} from './continuation-event.js';
import {addressOf} from './copy-address.js';
import type {EndpointStatements} from '../endpoint-statements/index.js';
import {callEndpoint, type CallAnswer} from './endpoint-calls.js';
import type {ContinuationRecord, MoveStep} from './continuation-record.js';
import type {EndpointLeavings} from './endpoint-leavings.js';
import {MoveResult, type EndpointCall} from './move-messages.js';

/** Dependencies of `RunMove`. */
export interface RunMoveParts {
  readonly attempt: EndpointAttempt;
  readonly attemptId: string;
  readonly dialect: Dialect;
  readonly statements: EndpointStatements;
  readonly leavings: EndpointLeavings;
  readonly metrics: GatewayMetrics;
  readonly events: EventLog;
  readonly record: {readonly continuation: ContinuationRecord};
  /** The monotonic clock, milliseconds. */
  readonly now: () => number;
  /** Where new connections to the service's endpoints are opened now. */
  readonly connections: () => EndpointConnectionPool;
  /** Whether the run has to be moved from an endpoint that ends in so many milliseconds. */
  readonly isDue: (timeLeftMilliseconds: number) => boolean;
  /** Chooses where the run goes, and takes a resend for it; undefined if it can't. */
  readonly claimPlace: () => KnownEndpoint | undefined;
}

/** A run that was stopped at its endpoint to go on from its handle. */
export interface StoppedRun {
  readonly source: KnownEndpoint;
  readonly handle: string;
  /** Endpoint that has the run, too; undefined if only the source has it. */
  readonly destination: KnownEndpoint | undefined;
}

/**
 * Time for the events that a stopped run sent before its end, and for the answer to a
 * call whose run can do without it; milliseconds.
 */
export const MAXIMUM_STOP_MILLISECONDS = 400;
/** Another endpoint has the address. */
const MISDIRECTED_STATUS = 421;
/** Share of the drain time after which runs that are still there are examined again. */
const SECOND_CHECK_SHARE = 0.5;

/** Moves the run of one attempt to another endpoint if its endpoint leaves. */
export class RunMove {
  private readonly stopWatching: () => void;
  private readonly timeouts: NetworkTimeout[] = [];
  private readonly abandoned = new AbortController();
  private call: Promise<void> | undefined;
  private stopped: StoppedRun | undefined;
  private isLeaving = false;
  private hasEnded = false;

  constructor(private readonly parts: RunMoveParts) {
    const {leavings, attempt} = parts;
    this.stopWatching = leavings.watch(attempt.endpoint, () => {
      this.endpointLeaves();
    });
  }

  /** Whether the endpoint has confirmed that the run was stopped. */
  get hasStopped(): boolean {
    return this.stopped !== undefined;
  }

  /** Whether the endpoint was asked to stop the run, and has not answered. */
  get isAsked(): boolean {
    return this.call !== undefined;
  }

  /** Records that the endpoint of the run is about to leave. */
  endpointLeaves(): void {
    if (this.isLeaving) {
      return;
    }
    this.isLeaving = true;
    const {drainMilliseconds} = this.parts.leavings;
    const untilSecond = SECOND_CHECK_SHARE * drainMilliseconds;
    this.check(drainMilliseconds);
    this.startTimeout(untilSecond, () => {
      this.check(drainMilliseconds - untilSecond);
    });
  }

  /**
   * Resolves when the result of a call is known whose stream has ended.
   *
   * @param limitMilliseconds Longest wait.
   * @param signal Ends the wait.
   */
  async settled(limitMilliseconds: number, signal: AbortSignal): Promise<void> {
    if (this.call === undefined || signal.aborted) {
      return;
    }
    const waited = new Promise<void>(resolve => {
      this.startTimeout(limitMilliseconds, resolve);
      signal.addEventListener(
        'abort',
        () => {
          resolve();
        },
        {once: true},
      );
    });
    await Promise.race([this.call, waited]);
  }

  /** The stopped run, which then belongs to the caller of this method. */
  take(): StoppedRun | undefined {
    const {stopped} = this;
    this.stopped = undefined;
    return stopped;
  }

  /** Ends the watch; frees the memory of a run that is stopped and not taken. */
  close(): void {
    this.hasEnded = true;
    this.stopWatching();
    for (const timeout of this.timeouts) {
      timeout.close();
    }
    if (this.call !== undefined || this.hasStopped) {
      void this.free();
    }
  }

  private check(timeLeftMilliseconds: number): void {
    const {attempt, isDue, claimPlace} = this.parts;
    // The end of a connection would pass for the end of such an answer.
    const isFramed = attempt.exchange.framing !== AnswerFraming.UntilClose;
    if (this.call !== undefined || !isFramed || !isDue(timeLeftMilliseconds)) {
      return;
    }
    const place = claimPlace();
    if (place !== undefined) {
      this.call = this.move(place).then(() => {
        this.call = undefined;
      });
    }
  }

  private async move(place: KnownEndpoint): Promise<void> {
    const {attempt, attemptId, dialect, metrics, events, record, now} =
      this.parts;
    const {endpoint, exchange} = attempt;
    metrics.continuationEvent(ContinuationEvent.MoveAsked);
    const to = addressOf(place.entry);
    const endpointId = endpoint.entry.id;
    const step: MoveStep = {
      from: endpointId,
      to: place.entry.id,
      result: undefined,
    };
    record.continuation.moves.push(step);
    const sentAt = now();
    const answer = await this.callAt(
      endpoint,
      dialect.moveCall({endpointId, attemptId, to}),
    );
    const move =
      answer && dialect.moveAnswer(answer.status, new Uint8Array(answer.body));
    step.result = move?.result ?? 'no answer';
    events.info('run move answered', {
      request: attemptId,
      endpoint: endpointId,
      to: place.entry.id,
      status: answer?.status,
      result: step.result,
      handle: move?.handle,
      start: endpoint.incarnation,
      elapsedMilliseconds: Math.round(now() - sentAt),
    });
    if (move === undefined || move.result === MoveResult.Refused) {
      metrics.continuationEvent(ContinuationEvent.MoveRefused);
      return;
    }
    this.stopped = {
      source: endpoint,
      handle: move.handle,
      destination: move.result === MoveResult.Moved ? place : undefined,
    };
    if (!this.hasEnded) {
      this.startTimeout(MAXIMUM_STOP_MILLISECONDS, () => {
        exchange.cancel('run stopped');
      });
    }
  }

  private async free(): Promise<void> {
    const timeout = new NetworkTimeout(MAXIMUM_STOP_MILLISECONDS, () => {
      this.abandoned.abort();
    });
    await this.call;
    const stopped = this.take();
    if (stopped !== undefined && !stopped.source.isReplaced) {
      const {source, handle} = stopped;
      const {id} = source.entry;
      await this.callAt(source, this.parts.dialect.freeHandleCall(id, handle));
    }
    timeout.close();
  }

  /** Calls the endpoint of the run, and takes up what it says of itself. */
  private async callAt(
    endpoint: KnownEndpoint,
    call: EndpointCall,
  ): Promise<CallAnswer | undefined> {
    const {connections, attemptId, dialect, statements, now} = this.parts;
    const sentAt = now();
    const answer = await callEndpoint(
      connections(),
      endpoint.entry,
      call,
      this.abandoned.signal,
    );
    if (answer !== undefined && answer.status !== MISDIRECTED_STATUS) {
      const {status, rawHeaders} = answer;
      const {statement} = dialect.endpointAnswer(status, rawHeaders);
      statements.answered(endpoint, {statement, sentAt, request: attemptId});
    }
    return answer;
  }

  private startTimeout(milliseconds: number, action: () => void): void {
    this.timeouts.push(new NetworkTimeout(milliseconds, action));
  }
}
