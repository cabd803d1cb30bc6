import type {AnswerOutcome} from './problem.js';

/** Where a request stands in its life. */
export enum LifeKind {
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

/** Tokens that the holder has set aside; needed before dispatch. */
export interface Reservation {
  readonly grantId: string;
  /** Incarnations of the keepers that know of it. */
  readonly holder: string;
  readonly witness: string;
  /** When the holder was asked, on the monotonic clock. */
  readonly askedAt: number;
}

/** The endpoint that was chosen. */
export interface Placement {
  readonly endpoint: string;
}

/** One try at one endpoint. */
export interface Attempt extends Placement {
  readonly attemptId: string;
}

/** The caller's request was read and its credential checked. */
export interface Received {
  readonly kind: LifeKind.Received;
}

/** It waits for an endpoint. */
export interface Queued {
  readonly kind: LifeKind.Queued;
  readonly reservation: Reservation | undefined;
}

/** An endpoint was chosen, and nothing is reserved yet. */
export interface Placed {
  readonly kind: LifeKind.Placed;
  readonly placement: Placement;
}

/** The holder was asked. */
export interface Beginning {
  readonly kind: LifeKind.Beginning;
  readonly placement: Placement | undefined;
}

/** The holder reserved the bound. */
export interface Reserved {
  readonly kind: LifeKind.Reserved;
  readonly reservation: Reservation;
  readonly placement: Placement | undefined;
}

/** The first byte may be on its way to the endpoint. */
export interface Dispatching {
  readonly kind: LifeKind.Dispatching;
  readonly reservation: Reservation;
  readonly attempt: Attempt;
}

/** An attempt that a lost router dispatched is being continued. */
export interface Resuming {
  readonly kind: LifeKind.Resuming;
  readonly from: LifeKind;
  readonly reservation: Reservation;
  readonly attempt: Attempt;
}

/** The endpoint has answered in part. */
export interface Streaming {
  readonly kind: LifeKind.Streaming;
  readonly reservation: Reservation;
  readonly attempt: Attempt;
}

/** How work at an endpoint ended. */
export type RunOutcome =
  AnswerOutcome.Answered | AnswerOutcome.Failed | AnswerOutcome.Unknown;

/** The work has ended, and its bill is not acknowledged yet. */
export interface Settling {
  readonly kind: LifeKind.Settling;
  readonly reservation: Reservation;
  readonly attempt: Attempt;
  readonly outcome: RunOutcome;
}

/** Final. */
export interface Ended {
  readonly kind:
    LifeKind.Answered | LifeKind.NotRun | LifeKind.Failed | LifeKind.Unknown;
  /** The state before it. */
  readonly from: LifeKind;
}

/** Another router runs it or keeps its answer. Final for this router. */
export interface Joined {
  readonly kind: LifeKind.Joined;
  readonly from: LifeKind;
  readonly router: string;
}

/**
 * States from which dispatch has not happened. Only these lead to "not run":
 * `refuse` takes no other, so the compiler rejects a refusal after dispatch.
 */
export type BeforeDispatch = Received | Queued | Placed | Beginning | Reserved;

/** States in which an endpoint may be at work. */
export type AfterDispatch = Dispatching | Resuming | Streaming;

/** Every state. */
export type Life = BeforeDispatch | AfterDispatch | Settling | Joined | Ended;

/** The first state. */
export function receive(): Received {
  return {kind: LifeKind.Received};
}

/** Starts to wait for an endpoint. */
export function queue(from: Received | Reserved): Queued {
  return {
    kind: LifeKind.Queued,
    reservation: from.kind === LifeKind.Reserved ? from.reservation : undefined,
  };
}

/** An endpoint was chosen. */
export function place(from: Queued, placement: Placement): Placed | Reserved {
  return from.reservation === undefined
    ? {kind: LifeKind.Placed, placement}
    : {kind: LifeKind.Reserved, reservation: from.reservation, placement};
}

/** Asks the holder. */
export function begin(from: Received | Placed): Beginning {
  return {
    kind: LifeKind.Beginning,
    placement: from.kind === LifeKind.Placed ? from.placement : undefined,
  };
}

/** The holder reserved. */
export function reserve(from: Beginning, reservation: Reservation): Reserved {
  return {
    kind: LifeKind.Reserved,
    reservation,
    placement: from.placement,
  };
}

/** From here on, "not run" is out of reach but by `unreached`. */
export function dispatch(from: Reserved, attempt: Attempt): Dispatching {
  return {
    kind: LifeKind.Dispatching,
    reservation: from.reservation,
    attempt,
  };
}

/**
 * The endpoint certainly did not get the attempt (its connection was refused).
 * There is no way back from `Resuming`: the lost router's attempt may have run.
 */
export function unreached(from: Dispatching): Reserved {
  return {
    kind: LifeKind.Reserved,
    reservation: from.reservation,
    placement: undefined,
  };
}

/** Continues the attempt of a lost router. */
export function resume(
  from: Beginning,
  reservation: Reservation,
  attempt: Attempt,
): Resuming {
  return {kind: LifeKind.Resuming, from: from.kind, reservation, attempt};
}

/**
 * Tries an idempotent request at another endpoint, after an attempt of which
 * nobody knows what became. It stays after dispatch: the first may have run.
 */
export function rerun(
  from: Dispatching | Resuming,
  attempt: Attempt,
): Resuming {
  return {
    kind: LifeKind.Resuming,
    from: from.kind,
    reservation: from.reservation,
    attempt,
  };
}

/** Part of the answer arrived. */
export function stream(from: AfterDispatch): Streaming {
  return {
    kind: LifeKind.Streaming,
    reservation: from.reservation,
    attempt: from.attempt,
  };
}

/** The work ended. */
export function settle(from: AfterDispatch, outcome: RunOutcome): Settling {
  return {
    kind: LifeKind.Settling,
    reservation: from.reservation,
    attempt: from.attempt,
    outcome,
  };
}

/** The bill was acknowledged. */
export function end(from: Settling): Ended {
  const kinds: Readonly<Record<RunOutcome, Ended['kind']>> = {
    answered: LifeKind.Answered,
    failed: LifeKind.Failed,
    unknown: LifeKind.Unknown,
  };
  return {kind: kinds[from.outcome], from: from.kind};
}

/** Ends as not run. */
export function refuse(from: BeforeDispatch): Ended {
  return {kind: LifeKind.NotRun, from: from.kind};
}

/** Another process knows, or nobody can tell, what became of it. */
export function lose(from: Beginning): Ended {
  return {kind: LifeKind.Unknown, from: from.kind};
}

/** The answer comes from another router. */
export function join(from: Beginning, router: string): Joined {
  return {kind: LifeKind.Joined, from: from.kind, router};
}
