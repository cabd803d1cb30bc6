/** A call to an endpoint itself, which belongs to no caller's request. */
export interface EndpointCall {
  readonly method: string;
  readonly target: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** A run that an endpoint is to stop and to move. */
export interface MoveRequest {
  /** Endpoint that has the run. */
  readonly endpointId: string;
  /** Attempt identifier of the run. */
  readonly attemptId: string;
  /** `IP:port` of the endpoint that gets the run. */
  readonly to: string;
}

/** What came of a call to move a run. */
export enum MoveResult {
  /** The run has stopped, and the other endpoint has it. */
  Moved = 'moved',
  /** The run has stopped, and only the endpoint itself has it. */
  Stopped = 'stopped',
  /** The run goes on, or has ended by itself. */
  Refused = 'refused',
}

/** An endpoint's answer to a call to move a run. */
export interface MoveAnswer {
  readonly result: MoveResult;
  /** Names the stopped run; empty if it has not stopped. */
  readonly handle: string;
}
