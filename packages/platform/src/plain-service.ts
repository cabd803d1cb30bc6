/** A call to a plain service. */
export interface PlainCall {
  readonly attemptId: string;
  readonly requestId: string;
  readonly organisation: string;
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly body: Uint8Array;
}

/** A complete response of a plain service. */
export interface PlainAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
}

/**
 * Client of one endpoint of a plain service. The endpoint echoes the attempt identifier;
 * a response with another identifier is an error that destroys the connection.
 */
export abstract class PlainService {
  /**
   * Sends a call and reads the complete response.
   *
   * @throws StepError with fate NotDone only if the call certainly did not reach
   *     the service.
   * @example
   * ```ts
   * const answer = await service.call(call, signal);
   * ```
   */
  abstract call(call: PlainCall, signal?: AbortSignal): Promise<PlainAnswer>;

  /**
   * Looks up the outcome of an earlier call, if the service supports it.
   *
   * @returns Undefined if the service does not know the request.
   * @throws StepError if the lookup failed.
   */
  abstract outcome(
    path: string,
    requestId: string,
    signal?: AbortSignal,
  ): Promise<PlainAnswer | undefined>;

  /** Closes open connections. */
  abstract close(): Promise<void>;
}

/** Creates the client of a plain service's endpoint from its address. */
export abstract class PlainServiceFactory {
  /** @param address `IP:port`. */
  abstract connect(endpoint: string, address: string): PlainService;
}
