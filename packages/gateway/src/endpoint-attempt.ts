import type {
  EndpointCircuitBreaker,
  RequestWork,
} from '@wisteriadeal/decisions';

import type {AttemptObservation} from './admission/index.js';
import type {KnownEndpoint} from './known-endpoint.js';
import type {EndpointExchange} from './endpoint-exchange.js';
import type {EndpointPath} from './endpoint-path.js';
import type {InactivityMonitor} from './inactivity-monitor.js';
import type {RequestIdentity} from './crashes/index.js';
import type {AnswerRecord, RequestRecord} from './request-record.js';

/**
 * An endpoint that a request crashes ends within a fraction of this after it
 * began to answer; one that was served for longer did not crash it.
 */
const JUST_BEGUN_MILLISECONDS = 1_000;

/** One attempt of a request at an endpoint. */
export class EndpointAttempt {
  private readonly eventsBefore: number;
  private readonly build: string;
  private readonly heartbeatAgeMilliseconds: number | undefined;
  private readonly inProgress: number;

  constructor(
    readonly endpoint: KnownEndpoint,
    readonly path: EndpointPath,
    readonly exchange: EndpointExchange,
    readonly monitor: InactivityMonitor,
    readonly work: RequestWork,
    readonly identity: RequestIdentity,
    private readonly record: RequestRecord,
    readonly sentAt: number,
    private readonly ageMilliseconds: () => number,
    /** Undefined if admission control does not apply to the attempt. */
    readonly admission: AttemptObservation | undefined,
  ) {
    this.eventsBefore = record.eventsDelivered;
    this.build = endpoint.entry.build;
    this.inProgress = endpoint.load;
    this.heartbeatAgeMilliseconds = endpoint.heartbeatAge(sentAt);
  }

  /**
   * Whether the endpoint has not answered for long, so that this request may be
   * what it does first.
   */
  get hasJustBegun(): boolean {
    const {timeToFirstByte, elapsedMilliseconds} = this.monitor;
    return (
      timeToFirstByte === undefined ||
      elapsedMilliseconds - timeToFirstByte < JUST_BEGUN_MILLISECONDS
    );
  }

  /** The endpoint's circuit breaker for the path of this attempt. */
  get breaker(): EndpointCircuitBreaker {
    return this.path.breakerOf(this.endpoint);
  }

  /** Adds an attempt whose answer was read to the request's record. */
  answerEnded(result: string): void {
    const {framing, bodyEnd} = this.exchange;
    const events = this.record.eventsDelivered - this.eventsBefore;
    this.ended(result, {framing, bodyEnd, events});
  }

  /** Adds the attempt to the request's record. */
  ended(result: string, answer?: AnswerRecord): void {
    this.record.attempts.push({
      answer,
      endpoint: this.endpoint.entry.id,
      build: this.build,
      path: this.path.kind,
      connection: this.exchange.connectionOrigin,
      shortage: this.exchange.shortage,
      inProgress: this.inProgress,
      heartbeatAgeMilliseconds: this.heartbeatAgeMilliseconds,
      atMilliseconds: Math.round(this.ageMilliseconds()),
      result,
    });
  }
}
