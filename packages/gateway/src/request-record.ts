import type {HostShortage} from '@wisteriadeal/platform';

import type {AdmissionRecord} from './admission/index.js';
import {ContinuationRecord} from './continuation/continuation-record.js';
import type {
  AnswerFraming,
  BodyEnd,
  ConnectionOrigin,
} from './endpoint-exchange.js';
import type {PathKind} from './endpoint-path.js';
import type {StreamEvent} from './event-stream-splitter.js';

/** How the body of an endpoint's answer came to its end. */
export interface AnswerRecord {
  readonly framing: AnswerFraming;
  readonly bodyEnd: BodyEnd;
  /** Number of its events that were delivered. */
  readonly events: number;
}

/** One attempt of a request at an endpoint, for the request's log line. */
export interface AttemptRecord {
  readonly endpoint: string;
  /** Build of the endpoint when the attempt was sent. */
  readonly build: string;
  readonly path: PathKind;
  readonly connection: ConnectionOrigin;
  /** What this host itself lacked for its connection. */
  readonly shortage?: HostShortage | undefined;
  /** The host's requests in progress at the endpoint when it was sent, itself included. */
  readonly inProgress: number;
  /** Time from its latest known heartbeat to the dispatch; undefined without one. */
  readonly heartbeatAgeMilliseconds: number | undefined;
  readonly atMilliseconds: number;
  readonly result: string;
  /** Undefined if no body was read. */
  readonly answer: AnswerRecord | undefined;
}

/** What a request is suspected of. */
export interface Suspicion {
  /** The subjects for which it is suspected. */
  readonly suspects: readonly string[];
  /** Endpoints whose crashes it can have caused. */
  readonly endpoints: readonly string[];
}

/** What limited the choice of the latest endpoint of a request. */
export interface PlacementRecord {
  /** Evacuated data centres. */
  readonly evacuated: readonly string[];
  /** Time since which changes of the evacuations may be missing, milliseconds. */
  readonly evacuationsAgeMilliseconds: number;
  /** Number of endpoints of the service that may have been cold. */
  readonly cold: number;
  /** Number of cold endpoints that were no candidates. */
  readonly withheld: number;
  /** Endpoints that were no candidates by what they had said, with the reasons. */
  readonly inNeed: readonly string[];
  /** Whether the request was sent to one that may have been cold. */
  readonly isCold: boolean;
  /** What was believed of the chosen endpoint; undefined if none was chosen. */
  readonly belief: string | undefined;
}

/** Charge for a request that may have run but had nothing delivered. */
export enum UndeliveredCharge {
  /** The organisation got nothing and is charged nothing. */
  Nothing = 'nothing',
  /** The prompt is charged, because the endpoint may have processed it. */
  Prompt = 'prompt',
}

/** An attempt as it appears in the request's log line. */
export function describeAttempt(attempt: AttemptRecord): string {
  const {endpoint, build, path, connection, result, answer} = attempt;
  const shortage =
    attempt.shortage === undefined ? '' : `, ${attempt.shortage}`;
  const {inProgress, atMilliseconds} = attempt;
  const age = attempt.heartbeatAgeMilliseconds;
  const heartbeat =
    age === undefined ? '' : ` (heard ${Math.round(age)} ms before)`;
  const body =
    answer === undefined
      ? ''
      : ` (${answer.framing}, ${answer.events} events, ${answer.bodyEnd})`;
  return `${endpoint} (${build}, ${path}, ${connection}${shortage}, ${inProgress} in progress) at ${atMilliseconds}${heartbeat}: ${result}${body}`;
}

/** What is recorded of an event of a stream. */
export type DeliveredEvent = Pick<StreamEvent, 'id' | 'hasField'>;

/** The outcome of a request, for its log line, metrics and bill. */
export class RequestRecord {
  readonly attempts: AttemptRecord[] = [];
  /** Copies of the run, and where it went on. */
  readonly continuation = new ContinuationRecord();
  /** True once a dispatch may have reached an endpoint. */
  mayHaveRun = false;
  /** Number of complete events delivered to the caller. */
  eventsDelivered = 0;
  /**
   * Identifier of the last event that the caller has of its stream, from this answer or
   * from the one that it takes up; undefined if none had one.
   */
  lastEventId: string | undefined;
  /**
   * Whether another run can go on after the last event that was delivered: it had an
   * identifier. Comments are no events.
   */
  canGoOn = true;
  outcome = 'open';
  status = 0;
  endpoint = '';
  organisation: string | undefined;
  /** Digest of the request, if an answer to it broke off or it was refused for that. */
  identity: string | undefined;
  /** Why it was refused as a suspect. */
  suspicion: Suspicion | undefined;
  /**
   * When the endpoint of the latest attempt began its answer, on the monotonic clock in
   * milliseconds; undefined if none did.
   */
  answerBeganAt: number | undefined;
  /** Undefined if admission control does not apply to the request. */
  admission: AdmissionRecord | undefined;
  /** Undefined before the first choice of an endpoint. */
  placement: PlacementRecord | undefined;
  /** Tokens charged when the request settled. */
  chargedTokens = 0;
  /** How long an available answer waited for its tokens, milliseconds. */
  tokenWaitMilliseconds = 0;
  /** How long the request waited for a place at an endpoint, milliseconds. */
  placeWaitMilliseconds = 0;

  /** Whether any part of an endpoint's answer was delivered to the caller. */
  hasDelivered = false;
  /**
   * When the first event was delivered, on the monotonic clock in milliseconds;
   * undefined before that.
   */
  firstEventAt: number | undefined;
  /** Longest time between two delivered events, milliseconds. */
  longestPauseMilliseconds = 0;
  private lastEventAt = 0;

  /** Mean time between two delivered events, milliseconds; undefined before two. */
  get meanEventMilliseconds(): number | undefined {
    return this.firstEventAt === undefined || this.eventsDelivered < 2
      ? undefined
      : (this.lastEventAt - this.firstEventAt) / (this.eventsDelivered - 1);
  }

  /** Records the delivery of an event. */
  eventDelivered({id, hasField}: DeliveredEvent, now: number): void {
    if (hasField) {
      this.lastEventId = id ?? this.lastEventId;
      this.canGoOn = id !== undefined;
    }
    this.eventsDelivered++;
    this.hasDelivered = true;
    if (this.firstEventAt === undefined) {
      this.firstEventAt = now;
    } else {
      this.longestPauseMilliseconds = Math.max(
        this.longestPauseMilliseconds,
        now - this.lastEventAt,
      );
    }
    this.lastEventAt = now;
  }

  /**
   * Tokens to charge, as a whole number: the input once, and the output that
   * was delivered.
   */
  usedTokens(
    promptTokens: number,
    maximumOutputTokens: number,
    tokensPerEvent: number | undefined,
    charge: UndeliveredCharge,
  ): number {
    const isCharged =
      this.hasDelivered ||
      (charge === UndeliveredCharge.Prompt && this.mayHaveRun);
    if (!isCharged) {
      return 0;
    }
    const output = Math.ceil(this.eventsDelivered * (tokensPerEvent ?? 0));
    return promptTokens + Math.min(output, maximumOutputTokens);
  }
}
