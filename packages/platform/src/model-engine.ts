/** One message of a chat prompt. */
export interface ChatMessage {
  readonly role: string;
  readonly content: string;
}

/** A completion as the engine is asked for it. */
export interface CompletionRequest {
  readonly attemptId: string;
  readonly model: string;
  readonly messages: readonly ChatMessage[];
  /** The engine generates at most this many tokens. */
  readonly maximumOutputTokens: number;
  /** Lower runs first. */
  readonly priority: number;
}

/** Usage as the engine counted it. */
export interface EngineUsage {
  readonly promptTokens: number;
  readonly completionTokens: number;
}

/** One event of an engine's stream. */
export interface EngineEvent {
  /** Counts from 0 within the attempt; the same again after a resume. */
  readonly index: number;
  /** The text of the chunk. */
  readonly text: string;
}

/** Why a finished stream ended. */
export enum FinishReason {
  Stop = 'stop',
  Length = 'length',
  Cancelled = 'cancelled',
}

/** What the end mark of a stream says. */
export interface EngineEnd {
  readonly finishReason: FinishReason;
  readonly usage: EngineUsage;
}

/**
 * A running stream. Iterate over `events`; only a stream whose iteration ended
 * without an error, and whose `end` is then set, is complete.
 */
export interface EngineStream {
  readonly attemptId: string;
  readonly events: AsyncIterable<EngineEvent>;
  /** Set after the end mark was read. */
  readonly end: EngineEnd | undefined;
  /** Drops the connection without cancelling the work at the engine. */
  detach(): void;
}

/** What an engine says of an attempt. */
export interface AttemptStatus {
  readonly known: boolean;
  readonly finished: boolean;
  /** Usage so far, or in all when finished. */
  readonly usage: EngineUsage;
}

/** An engine's own report; it lags. */
export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** True once the engine itself says that it is leaving. */
  readonly leaving: boolean;
  /** Hashes of cached prompt prefixes announced since `cacheSequence`. */
  readonly cachedPrefixes: readonly string[];
  /** Rises with each cache event; a step of more than one is a gap. */
  readonly cacheSequence: number;
}

/** What an order changes at an engine. */
export enum EngineOrderKind {
  LoadModel = 'load-model',
  LoadAdapter = 'load-adapter',
  ChangeVersion = 'change-version',
  ChangeRole = 'change-role',
}

/** An order to an engine. */
export interface EngineOrder {
  readonly kind: EngineOrderKind;
  readonly subject: string;
  /** Some deployments refuse a lower one than they have seen; others ignore it. */
  readonly fencingNumber: number;
  readonly weightTicket?: string;
}

/**
 * One model engine. Every answer repeats the attempt identifier; an answer with
 * another one is an error that destroys the connection.
 */
export abstract class ModelEngine {
  /**
   * Starts a completion.
   *
   * @throws StepError with fate NotDone only when the request certainly did not
   *     reach the engine (connection refused, or the engine refused it).
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
   * Continues reading an attempt after the event `afterIndex` (-1: from the
   * start).
   *
   * @throws StepError with fate NotDone where the engine does not know it.
   */
  abstract resume(
    attemptId: string,
    afterIndex: number,
    signal?: AbortSignal,
  ): Promise<EngineStream>;

  /** Stops an attempt; the status says what it used. */
  abstract cancel(
    attemptId: string,
    signal?: AbortSignal,
  ): Promise<AttemptStatus>;

  /** Asks what became of an attempt. */
  abstract status(
    attemptId: string,
    signal?: AbortSignal,
  ): Promise<AttemptStatus>;

  /** Reads the engine's lagging load report. */
  abstract load(signal?: AbortSignal): Promise<EngineLoad>;

  /**
   * Gives an order.
   *
   * @returns False where the engine refused an old fencing number.
   */
  abstract order(order: EngineOrder, signal?: AbortSignal): Promise<boolean>;

  /** Ends open connections. */
  abstract close(): Promise<void>;
}

/** Makes the client of an engine from its address. */
export abstract class ModelEngineFactory {
  /** @param address `IP:port`. */
  abstract connect(endpoint: string, address: string): ModelEngine;
}
