import type {Clock} from '@wisteriadeal/platform';
import type {
  AttemptReference,
  Bill,
  OpenReservation,
} from '@wisteriadeal/schema';

/** The state of a request at its holder. */
export enum RequestPhase {
  /** The bound is not reserved yet, so the request was not dispatched. */
  Reserving = 'reserving',
  Running = 'running',
  /** The router that ran the request was lost. */
  Orphaned = 'orphaned',
  Settled = 'settled',
}

/**
 * A request, from its registration until it is evicted after it was settled.
 */
export interface TrackedRequest {
  readonly requestId: string;
  readonly organisation: string;
  readonly fingerprint: string;
  readonly idempotent: boolean;
  readonly boundTokens: number;
  readonly caller: string;
  /**
   * Number of the begin of `router` that made or took over the reservation; 0 if
   * the router does not number its begins, or the request was inherited after
   * another router had taken it over.
   */
  beginNumber: number;
  /** Whether `router` has taken over the request from a lost router. */
  isResumed: boolean;
  attempt: AttemptReference;
  /**
   * Incarnation of the router that runs the request, or was the last to run it.
   */
  router: string;
  phase: RequestPhase;
  grantId: string;
  /**
   * Time at which the phase was entered, in milliseconds of this process's
   * monotonic clock.
   */
  phaseEnteredAt: number;
  bill: Bill | undefined;
}

/**
 * Maximum number of settled requests kept, which limits memory during a burst.
 */
const MAXIMUM_SETTLED_REQUESTS = 20_000;

/** The requests that this keeper tracks as a holder, of all organisations. */
export class RequestRegistry {
  private readonly requests = new Map<string, TrackedRequest>();
  private readonly settledOrder: string[] = [];
  /**
   * Requests whose claim was won through this keeper and that were never
   * dispatched.
   */
  private readonly unusedClaims = new Set<string>();

  constructor(private readonly clock: Clock) {}

  /** Number of tracked requests. */
  get size(): number {
    return this.requests.size;
  }

  /** Returns a tracked request. */
  get(requestId: string): TrackedRequest | undefined {
    return this.requests.get(requestId);
  }

  /** Starts to track a request. */
  add(
    request: Omit<TrackedRequest, 'phaseEnteredAt' | 'bill'>,
  ): TrackedRequest {
    const tracked = {
      ...request,
      phaseEnteredAt: this.clock.monotonicMilliseconds(),
      bill: undefined,
    };
    this.requests.set(request.requestId, tracked);
    return tracked;
  }

  /**
   * Starts to track the request of a reservation that was inherited from a lost
   * holder.
   */
  addInherited(
    organisation: string,
    grantId: string,
    reservation: OpenReservation,
  ): void {
    this.add({
      requestId: reservation.requestId,
      organisation,
      fingerprint: reservation.fingerprint,
      idempotent: reservation.idempotent,
      boundTokens: reservation.boundTokens,
      caller: reservation.caller,
      beginNumber: reservation.beginNumber,
      isResumed: false,
      attempt: {
        $typeName: 'wisteriadeal.v1.AttemptReference',
        attemptId: reservation.attemptId,
        endpoint: reservation.endpoint,
      },
      router: reservation.router,
      phase: RequestPhase.Running,
      grantId,
    });
  }

  /** Moves a request to another phase. */
  enterPhase(request: TrackedRequest, phase: RequestPhase): void {
    request.phase = phase;
    request.phaseEnteredAt = this.clock.monotonicMilliseconds();
  }

  /** Marks a request as settled with its bill; the first bill is kept. */
  settle(request: TrackedRequest, bill: Bill): void {
    if (request.phase !== RequestPhase.Settled) {
      request.bill = bill;
      this.enterPhase(request, RequestPhase.Settled);
      this.settledOrder.push(request.requestId);
      this.evictOldestSettled();
    }
  }

  /**
   * Removes a request that was never dispatched. A request with the same
   * identifier that was registered later stays.
   */
  remove(request: TrackedRequest): void {
    if (this.isTracked(request)) {
      this.requests.delete(request.requestId);
    }
  }

  /** Whether a request was not removed or replaced by a later one. */
  isTracked(request: TrackedRequest): boolean {
    return this.requests.get(request.requestId) === request;
  }

  /**
   * Records that the claim of a request was won but the request did not run.
   */
  addUnusedClaim(requestId: string): void {
    this.unusedClaims.add(requestId);
  }

  /**
   * Removes the unused claim of a request, so that it is used at most once.
   *
   * @returns Whether there was one.
   */
  consumeUnusedClaim(requestId: string): boolean {
    return this.unusedClaims.delete(requestId);
  }

  /** Returns the requests in a phase. */
  inPhase(phase: RequestPhase): readonly TrackedRequest[] {
    return [...this.requests.values()].filter(
      request => request.phase === phase,
    );
  }

  /** The requests that are not settled. */
  get unsettled(): readonly TrackedRequest[] {
    return [...this.requests.values()].filter(
      ({phase}) => phase !== RequestPhase.Settled,
    );
  }

  /** Returns the requests of a router that are not settled. */
  unsettledOfRouter(router: string): readonly TrackedRequest[] {
    return this.unsettled.filter(request => request.router === router);
  }

  private evictOldestSettled(): void {
    while (this.settledOrder.length > MAXIMUM_SETTLED_REQUESTS) {
      const oldest = this.settledOrder.shift();
      if (oldest !== undefined) {
        this.requests.delete(oldest);
      }
    }
  }
}
