import type {Clock} from '@wisteriadeal/platform';
import type {
  AttemptReference,
  Bill,
  RequestReservation,
} from '@wisteriadeal/schema';

/** Where a request stands at its holder. */
export enum RequestPhase {
  /** Not yet reserved: nothing was dispatched. */
  Reserving = 'reserving',
  Running = 'running',
  /** Its router was lost. */
  Orphaned = 'orphaned',
  Settled = 'settled',
}

/** One request, from its registration until its answer is no longer kept. */
export interface TrackedRequest {
  readonly requestId: string;
  readonly organisation: string;
  readonly fingerprint: string;
  readonly idempotent: boolean;
  readonly boundTokens: number;
  readonly caller: string;
  attempt: AttemptReference;
  /** Incarnation of the router that runs it, or ran it last. */
  router: string;
  phase: RequestPhase;
  grantId: string;
  /** When the phase was entered, on this process's monotonic clock. */
  since: number;
  bill: Bill | undefined;
}

/** Settled requests kept, so that the registry is bounded in a burst. */
const MAXIMUM_SETTLED = 20_000;

/** The requests of all organisations that this keeper holds. */
export class RequestRegistry {
  private readonly requests = new Map<string, TrackedRequest>();
  private readonly settledOrder: string[] = [];
  /** Claims that this keeper won and that were never dispatched. */
  private readonly unusedClaims = new Set<string>();

  constructor(private readonly clock: Clock) {}

  /** How many requests are known. */
  get size(): number {
    return this.requests.size;
  }

  /** A known request. */
  get(requestId: string): TrackedRequest | undefined {
    return this.requests.get(requestId);
  }

  /** Registers a request. */
  add(request: Omit<TrackedRequest, 'since' | 'bill'>): TrackedRequest {
    const tracked = {
      ...request,
      since: this.clock.monotonicMilliseconds(),
      bill: undefined,
    };
    this.requests.set(request.requestId, tracked);
    return tracked;
  }

  /** Registers a reservation that was inherited from a lost holder. */
  adopt(
    organisation: string,
    grantId: string,
    open: RequestReservation,
    phase: RequestPhase,
  ): void {
    const {reservation} = open;
    if (reservation === undefined || this.requests.has(reservation.requestId)) {
      return;
    }
    this.add({
      requestId: reservation.requestId,
      organisation,
      fingerprint: open.fingerprint,
      idempotent: open.idempotent,
      boundTokens: reservation.boundTokens,
      caller: reservation.caller,
      attempt: {
        $typeName: 'wisteriadeal.v1.AttemptReference',
        attemptId: reservation.attemptId,
        endpoint: reservation.endpoint,
      },
      router: open.router,
      phase,
      grantId,
    });
  }

  /** Moves a request to another phase. */
  enter(request: TrackedRequest, phase: RequestPhase): void {
    request.phase = phase;
    request.since = this.clock.monotonicMilliseconds();
  }

  /** A request has its bill. */
  settle(request: TrackedRequest, bill: Bill): void {
    if (request.phase !== RequestPhase.Settled) {
      request.bill = bill;
      this.enter(request, RequestPhase.Settled);
      this.settledOrder.push(request.requestId);
      this.limitSettled();
    }
  }

  /** Forgets a request that was never dispatched. */
  remove(requestId: string): void {
    this.requests.delete(requestId);
  }

  /** Notes a claim that was won for a request that did not run. */
  noteUnusedClaim(requestId: string): void {
    this.unusedClaims.add(requestId);
  }

  /** Uses such a claim, once. */
  takeUnusedClaim(requestId: string): boolean {
    return this.unusedClaims.delete(requestId);
  }

  /** Requests in a phase. */
  inPhase(phase: RequestPhase): readonly TrackedRequest[] {
    return [...this.requests.values()].filter(
      request => request.phase === phase,
    );
  }

  /** Requests of a router that are not settled. */
  ofRouter(router: string): readonly TrackedRequest[] {
    return [...this.requests.values()].filter(
      request =>
        request.router === router && request.phase !== RequestPhase.Settled,
    );
  }

  private limitSettled(): void {
    while (this.settledOrder.length > MAXIMUM_SETTLED) {
      const oldest = this.settledOrder.shift();
      if (oldest !== undefined) {
        this.requests.delete(oldest);
      }
    }
  }
}
