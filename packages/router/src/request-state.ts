import type {AnswerOutcome} from './problem.js';

/** Phase of a request; the kind of its state. */
export enum Phase {
  Received = 'received',
  Queued = 'queued',
  Placed = 'placed',
  Beginning = 'beginning',
  Reserved = 'reserved',
  Dispatching = 'dispatching',
  Resuming = 'resuming',
  Streaming = 'streaming',
  Settling = 'settling',
  Joined = 'joined',
  Answered = 'answered',
  NotRun = 'not-run',
  Failed = 'failed',
  Unknown = 'unknown',
}

/** Tokens that the holder has reserved; required before dispatch. */
export interface Reservation {
  readonly grantId: string;
  /** Incarnation of the keeper that made the reservation. */
  readonly holder: string;
  /** Incarnation of the keeper that inherits it if the holder is lost. */
  readonly witness: string;
  /** Monotonic time in milliseconds at which the begin was sent. */
  readonly beginSentAt: number;
}

/** The endpoint that was chosen. */
export interface Placement {
  readonly endpoint: string;
}

/** One attempt at one endpoint. */
export interface Attempt extends Placement {
  readonly attemptId: string;
}

/** The request was read and its caller authenticated. */
export interface Received {
  readonly kind: Phase.Received;
}

/** Waiting for an endpoint. */
export interface Queued {
  readonly kind: Phase.Queued;
  readonly reservation: Reservation | undefined;
}

/** An endpoint was chosen, but nothing is reserved yet. */
export interface Placed {
  readonly kind: Phase.Placed;
  readonly placement: Placement;
}

/** A begin was sent to the holder. */
export interface Beginning {
  readonly kind: Phase.Beginning;
  readonly placement: Placement | undefined;
}

/** The holder reserved the request's maximum cost. */
export interface Reserved {
  readonly kind: Phase.Reserved;
  readonly reservation: Reservation;
  readonly placement: Placement | undefined;
}

/** The request may have been sent to the endpoint, in whole or in part. */
export interface Dispatching {
  readonly kind: Phase.Dispatching;
  readonly reservation: Reservation;
  readonly attempt: Attempt;
}

/**
 * An attempt dispatched by a lost router is being resumed, or the request is
 * being rerun after an attempt with an unknown outcome.
 */
export interface Resuming {
  readonly kind: Phase.Resuming;
  readonly from: Phase;
  readonly reservation: Reservation;
  readonly attempt: Attempt;
}

/** Part of the endpoint's answer has arrived. */
export interface Streaming {
  readonly kind: Phase.Streaming;
  readonly reservation: Reservation;
  readonly attempt: Attempt;
}

/** Outcome of the work at an endpoint. */
export type RunOutcome =
  AnswerOutcome.Answered | AnswerOutcome.Failed | AnswerOutcome.Unknown;

/** The work has ended, but no keeper has acknowledged its bill yet. */
export interface Settling {
  readonly kind: Phase.Settling;
  readonly reservation: Reservation;
  readonly attempt: Attempt;
  readonly outcome: RunOutcome;
}

/** Final state. */
export interface Ended {
  readonly kind: Phase.Answered | Phase.NotRun | Phase.Failed | Phase.Unknown;
  /** The previous state. */
  readonly from: Phase;
}

/** Another router runs the request or keeps its answer. Final for this router. */
export interface Joined {
  readonly kind: Phase.Joined;
  readonly from: Phase;
  readonly router: string;
}

/**
 * States before dispatch. Only these lead to "not run": `refuse` accepts no
 * other state, so the compiler rejects a refusal after dispatch.
 */
export type BeforeDispatch = Received | Queued | Placed | Beginning | Reserved;

/** States in which an endpoint may be working on the request. */
export type AfterDispatch = Dispatching | Resuming | Streaming;

/** State of a request. */
export type RequestState =
  BeforeDispatch | AfterDispatch | Settling | Joined | Ended;

/** Creates the initial state. */
export function receive(): Received {
  return {kind: Phase.Received};
}

/** Starts waiting for an endpoint. */
export function queue(from: Received | Reserved): Queued {
  return {
    kind: Phase.Queued,
    reservation: from.kind === Phase.Reserved ? from.reservation : undefined,
  };
}

/** Assigns the chosen endpoint. */
export function place(from: Queued, placement: Placement): Placed | Reserved {
  return from.reservation === undefined
    ? {kind: Phase.Placed, placement}
    : {
        kind: Phase.Reserved,
        reservation: from.reservation,
        placement,
      };
}

/** Records that a begin is sent to the holder. */
export function begin(from: Received | Placed): Beginning {
  return {
    kind: Phase.Beginning,
    placement: from.kind === Phase.Placed ? from.placement : undefined,
  };
}

/** Stores the holder's reservation. */
export function reserve(from: Beginning, reservation: Reservation): Reserved {
  return {
    kind: Phase.Reserved,
    reservation,
    placement: from.placement,
  };
}

/** Starts the dispatch. Only `undoDispatch` leads back to a state before it. */
export function dispatch(from: Reserved, attempt: Attempt): Dispatching {
  return {
    kind: Phase.Dispatching,
    reservation: from.reservation,
    attempt,
  };
}

/**
 * Returns to `Reserved` if the endpoint certainly did not receive the attempt
 * (its connection was refused). Not available from `Resuming`, because the lost
 * router's attempt may have run.
 */
export function undoDispatch(from: Dispatching): Reserved {
  return {
    kind: Phase.Reserved,
    reservation: from.reservation,
    placement: undefined,
  };
}

/** Starts to resume the attempt of a lost router. */
export function resume(
  from: Beginning,
  reservation: Reservation,
  attempt: Attempt,
): Resuming {
  return {
    kind: Phase.Resuming,
    from: from.kind,
    reservation,
    attempt,
  };
}

/**
 * Starts the rerun of an idempotent request at another endpoint, after an attempt
 * with an unknown outcome. The result is a state after dispatch, because the
 * first attempt may have run.
 */
export function rerun(
  from: Dispatching | Resuming,
  attempt: Attempt,
): Resuming {
  return {
    kind: Phase.Resuming,
    from: from.kind,
    reservation: from.reservation,
    attempt,
  };
}

/** Records that part of the answer arrived. */
export function stream(from: AfterDispatch): Streaming {
  return {
    kind: Phase.Streaming,
    reservation: from.reservation,
    attempt: from.attempt,
  };
}

/** Records that the work ended. */
export function settle(from: AfterDispatch, outcome: RunOutcome): Settling {
  return {
    kind: Phase.Settling,
    reservation: from.reservation,
    attempt: from.attempt,
    outcome,
  };
}

/** Records that the bill was acknowledged. */
export function end(from: Settling): Ended {
  const kinds: Readonly<Record<RunOutcome, Ended['kind']>> = {
    answered: Phase.Answered,
    failed: Phase.Failed,
    unknown: Phase.Unknown,
  };
  return {kind: kinds[from.outcome], from: from.kind};
}

/** Ends the request as not run. */
export function refuse(from: BeforeDispatch): Ended {
  return {kind: Phase.NotRun, from: from.kind};
}

/**
 * Ends the request as unknown at this router: it ran elsewhere, or its outcome
 * cannot be determined.
 */
export function endAsUnknown(from: Beginning): Ended {
  return {kind: Phase.Unknown, from: from.kind};
}

/** Records that the answer comes from another router. */
export function join(from: Beginning, router: string): Joined {
  return {kind: Phase.Joined, from: from.kind, router};
}
