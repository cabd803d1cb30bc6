import type {FleetConfiguration} from './configuration.js';
import type {
  EndpointCall,
  MoveAnswer,
  MoveRequest,
} from './continuation/move-messages.js';
import type {EndpointEntry} from './endpoint-entry.js';
import type {EndpointStatement} from './endpoint-statements/index.js';

/**
 * One part of a prompt; requests with the same part share its cached tokens at
 * an endpoint.
 */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Values parsed from a caller's headers. */
export interface CallerHeaders {
  /**
   * Identifies one attempt of the caller; undefined if the caller sent none.
   */
  readonly attemptId: string | undefined;
  /** Host name in lower case, without a port. */
  readonly host: string;
  readonly key: string | undefined;
  /** How long the caller waits, milliseconds; undefined if not stated. */
  readonly deadlineMilliseconds: number | undefined;
  readonly promptTokens: number;
  /** Maximum number of tokens to generate. */
  readonly maximumOutputTokens: number;
  /**
   * The caller's estimate of the number of tokens to generate, which is often far
   * off; undefined if not stated.
   */
  readonly lengthHint: number | undefined;
  /** Parts in prompt order; the last one is not shared with other requests. */
  readonly promptParts: readonly PromptPart[];
  /**
   * Identifier of the last event that the caller received of an earlier answer.
   */
  readonly lastEventId: string | undefined;
  /**
   * The caller's attempt that brought the first event of that answer; undefined
   * if not stated.
   */
  readonly resumedAttemptId: string | undefined;
}

/** Values that the gateway adds to the headers of a request to an endpoint. */
export interface DispatchHeaders {
  readonly endpointId: string;
  readonly organisation: string | undefined;
  /** Time left until the caller's deadline, whole milliseconds. */
  readonly remainingMilliseconds: number;
  /** From 0, the most urgent, to 9. */
  readonly priority: number;
  /**
   * Identifier of the event after which the stream resumes; replaces the
   * caller's own.
   */
  readonly lastEventId: string | undefined;
  /** `IP:port` of the endpoint that has the prompt's shared parts in its cache. */
  readonly fetchFrom?: string | undefined;
  /** `IP:port` of the endpoint to which the run's memory is copied as it grows. */
  readonly backupAt?: string | undefined;
  /** `IP:port/ID` of a copy of the run's memory, from which the run goes on. */
  readonly continueFrom?: string | undefined;
}

/** Values parsed from an endpoint's headers. */
export interface EndpointAnswerHeaders {
  /** The attempt that the endpoint answers; undefined if not stated. */
  readonly attemptId: string | undefined;
  /** Whether the endpoint states that it did not run the request. */
  readonly isNotRun: boolean;
  /**
   * Whether the endpoint closes the connection after this answer; it may be
   * leaving.
   */
  readonly closesConnection: boolean;
  /**
   * Whether the endpoint's proof is present, so that the answer may be
   * forwarded as the endpoint's.
   */
  readonly hasProof: boolean;
  readonly statement: EndpointStatement;
}

/**
 * The protocol spoken with callers and endpoints, and the format of the records
 * read from the platform. Only implementations of this class know header names
 * and the layout of foreign records.
 */
export abstract class Dialect {
  /** @param rawHeaders Alternating names and values, as received. */
  abstract callerHeaders(rawHeaders: readonly string[]): CallerHeaders;

  /** The headers to send to an endpoint, as alternating names and values. */
  abstract dispatchHeaders(
    rawHeaders: readonly string[],
    added: DispatchHeaders,
  ): string[];

  /** @param rawHeaders Alternating names and values, as received. */
  abstract endpointAnswer(
    status: number,
    rawHeaders: readonly string[],
  ): EndpointAnswerHeaders;

  /** The headers to send to the caller, as alternating names and values. */
  abstract answerHeaders(rawHeaders: readonly string[]): string[];

  /** Headers of a gateway's own reply that state the delay before a retry. */
  abstract retryHeaders(afterMilliseconds: number): string[];

  /** The call that stops a run and moves it to another endpoint. */
  abstract moveCall(request: MoveRequest): EndpointCall;

  /** Parses the answer to a call that moves a run. */
  abstract moveAnswer(status: number, body: Uint8Array): MoveAnswer;

  /** The call that frees the memory of a stopped run at its endpoint. */
  abstract freeHandleCall(endpointId: string, handle: string): EndpointCall;

  /**
   * Parses an entry of the endpoint list; undefined for an entry without a
   * usable endpoint.
   */
  abstract endpointEntry(
    id: string,
    value: Uint8Array,
  ): EndpointEntry | undefined;

  /** Whether the bytes are an operator's order to evacuate a data centre. */
  abstract isEvacuation(value: Uint8Array): boolean;

  /**
   * Parses the configuration; undefined for bytes that are not a configuration.
   */
  abstract configuration(value: Uint8Array): FleetConfiguration | undefined;
}
