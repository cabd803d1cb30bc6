/** One message of a chat prompt. */
export interface ChatMessage {
  readonly role: string;
  readonly content: string;
}

/** A completion request to an engine. */
export interface CompletionRequest {
  readonly attemptId: string;
  readonly model: string;
  readonly messages: readonly ChatMessage[];
  /** Maximum number of tokens that the engine generates. */
  readonly maximumOutputTokens: number;
  /** Requests with a lower value run first. */
  readonly priority: number;
}

/** Token usage as counted by the engine. */
export interface EngineUsage {
  readonly promptTokens: number;
  readonly completionTokens: number;
}

/** One event of an engine's stream. */
export interface EngineEvent {
  /** Index of the event within the attempt, from 0; a resumed stream keeps the numbering. */
  readonly index: number;
  /** The text of the chunk. */
  readonly text: string;
}

/** Why a stream finished. */
export enum FinishReason {
  Stop = 'stop',
  Length = 'length',
  Cancelled = 'cancelled',
}

/** Finish reason and usage of a complete stream. */
export interface EngineEnd {
  readonly finishReason: FinishReason;
  readonly usage: EngineUsage;
}

/**
 * A stream of a running attempt. It is complete only if the iteration over `events`
 * ended without an error and `end` is set afterwards.
 */
export interface EngineStream {
  readonly attemptId: string;
  readonly events: AsyncIterable<EngineEvent>;
  /** Set after the end marker was read. */
  readonly end: EngineEnd | undefined;
  /** Closes the connection without cancelling the attempt at the engine. */
  detach(): void;
}

/** Status of an attempt as the engine reports it. */
export interface AttemptStatus {
  readonly known: boolean;
  readonly finished: boolean;
  /** Usage so far, or total usage if the attempt has finished. */
  readonly usage: EngineUsage;
}

/** An engine's load report; it lags behind the actual load. */
export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** True once the engine reports that it is leaving. */
  readonly leaving: boolean;
  /** Hashes of cached prompt prefixes announced since `cacheSequence`. */
  readonly cachedPrefixes: readonly string[];
  /** Increases by one with each cache event; a larger increase means that events were missed. */
  readonly cacheSequence: number;
}

/** Which property of an engine an order changes. */
export enum EngineOrderKind {
  LoadModel = 'load-model',
  LoadAdapter = 'load-adapter',
  ChangeVersion = 'change-version',
  ChangeRole = 'change-role',
}

/** A management order to an engine. */
export interface EngineOrder {
  readonly kind: EngineOrderKind;
  readonly subject: string;
  /** Some deployments refuse a number lower than the highest they have received; others ignore it. */
  readonly fencingNumber: number;
  readonly weightTicket?: string;
}

/**
 * Client of one model engine. Every response echoes the attempt identifier; a response
 * with another identifier is an error that destroys the connection.
 */
export abstract class ModelEngine {
  /**
   * Starts a completion.
   *
   * @throws StepError with fate NotDone only if the engine certainly did not run the
   *     request (the connection failed, or the engine refused the request).
   * @example
   * ```ts
   * const stream = await engine.start(request, signal);
   * for await (const event of stream.events) write(event.text);
   * ```
   */
  abstract start(
    request: CompletionRequest,
    signal?: AbortSignal,
  ): Promise<EngineStream>;

  /**
   * Resumes reading the events of an attempt after event `afterIndex` (-1: from the
   * start).
   *
   * @throws StepError with fate NotDone if the engine does not know the attempt.
   */
  abstract resume(
    attemptId: string,
    afterIndex: number,
    signal?: AbortSignal,
  ): Promise<EngineStream>;

  /** Cancels an attempt and returns its status with the usage so far. */
  abstract cancel(
    attemptId: string,
    signal?: AbortSignal,
  ): Promise<AttemptStatus>;

  /** Gets the status of an attempt. */
  abstract status(
    attemptId: string,
    signal?: AbortSignal,
  ): Promise<AttemptStatus>;

  /** Reads the engine's load report. */
  abstract load(signal?: AbortSignal): Promise<EngineLoad>;

  /**
   * Sends an order.
   *
   * @returns False if the engine refused the order because its fencing number is
   *     outdated.
   */
  abstract order(order: EngineOrder, signal?: AbortSignal): Promise<boolean>;

  /** Closes open connections. */
  abstract close(): Promise<void>;
}

/** Creates the client of an engine from its address. */
export abstract class ModelEngineFactory {
  /** @param address `IP:port`. */
  abstract connect(endpoint: string, address: string): ModelEngine;
}
