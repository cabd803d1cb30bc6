/** A call as the service is asked for it. */
export interface PlainCall {
  readonly attemptId: string;
  readonly requestId: string;
  readonly organisation: string;
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly body: Uint8Array;
}

/** A service's whole answer. */
export interface PlainAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
}

/**
 * One endpoint of a plain service. It echoes the attempt identifier; an answer
 * with another one is an error that destroys the connection.
 */
export abstract class PlainService {
  /**
   * Makes one call and reads the whole answer.
   *
   * @throws StepError with fate NotDone only when the call certainly did not
   *     reach the service.
   * @example
   * ```ts
   * const answer = await service.call(call, signal);
   * ```
   */
  abstract call(call: PlainCall, signal?: AbortSignal): Promise<PlainAnswer>;

  /**
   * Looks up the outcome of an earlier call where the service offers it.
   *
   * @returns Undefined where the service knows nothing of the request.
   */
  abstract outcome(
    path: string,
    requestId: string,
    signal?: AbortSignal,
  ): Promise<PlainAnswer | undefined>;

  /** Ends open connections. */
  abstract close(): Promise<void>;
}

/** Makes the client of a plain service's endpoint from its address. */
export abstract class PlainServiceFactory {
  /** @param address `IP:port`. */
  abstract connect(endpoint: string, address: string): PlainService;
}
