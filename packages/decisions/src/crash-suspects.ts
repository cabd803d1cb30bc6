/** An endpoint that ended, and the requests that it had begun to run shortly before. */
export interface EndpointCrash {
  /** Identifier of the endpoint's incarnation. */
  readonly endpoint: string;
  /** Monotonic clock, milliseconds. */
  readonly at: number;
  /** Digests of the requests. */
  readonly requests: readonly string[];
}

/** Something that happened to one request. */
export interface RequestEvent {
  /** Digest of the request. */
  readonly request: string;
  /** Monotonic clock, milliseconds. */
  readonly at: number;
}

/** Everything that a host knows of suspected requests. */
export interface SuspectKnowledge {
  readonly crashes: readonly EndpointCrash[];
  /** Tries of requests that were present at two crashes or more. */
  readonly tries: readonly RequestEvent[];
  /** Latest success of each request that had been present at a crash. */
  readonly successes: readonly RequestEvent[];
}

/** What to do with a request that arrives. */
export enum SuspectVerdict {
  /** The request is run like any other. */
  Serve = 'serve',
  /** The request may be sent to one endpoint, as a try of the whole fleet. */
  Try = 'try',
  /** The request is refused without having run. */
  Refuse = 'refuse',
}

/** A verdict, and when the next try is due. */
export interface SuspectDecision {
  readonly verdict: SuspectVerdict;
  /** Time until a refused request may be tried, milliseconds; otherwise 0. */
  readonly waitMilliseconds: number;
}

/** Crashed endpoints from which on a request runs only as a try of the whole fleet. */
const SUSPECT_CRASHES = 2;
/** Crashed endpoints from which on the number of tries is limited. */
const GUILTY_CRASHES = 3;
/** Pause after the last crash or try of a request that crashed two endpoints. */
const SUSPECT_PAUSE_MILLISECONDS = 2_000;
/**
 * Pauses before each try of a request that crashed three endpoints. They are for
 * requests that were present at other requests' crashes.
 */
const GUILTY_PAUSES_MILLISECONDS = [10_000, 60_000, 300_000];
/** What is known of a request is dropped this long after it last mattered. */
const MEMORY_MILLISECONDS = 600_000;
const MAXIMUM_CRASHES = 1_000;

const SERVE: SuspectDecision = {
  verdict: SuspectVerdict.Serve,
  waitMilliseconds: 0,
};

/**
 * Decides which requests may be sent to endpoints, from the crashes at which they
 * were present. Knowledge of several hosts is merged, in any order and any number
 * of times, with the same result.
 *
 * @example
 * ```ts
 * suspects.recordCrash({endpoint: 'i-1', at: 0, requests: [digest]});
 * const {verdict} = suspects.decide(digest, 100); // SuspectVerdict.Serve
 * ```
 */
export class CrashSuspects {
  private readonly crashes = new Map<string, EndpointCrash>();
  /** Endpoints that crashed under each request. */
  private readonly endpointsOf = new Map<string, Set<string>>();
  private readonly withdrawn = new Map<string, number>();
  private readonly tries = new Map<string, readonly number[]>();
  private readonly successes = new Map<string, number>();
  /** When each request last arrived. */
  private readonly arrivals = new Map<string, number>();

  /** Whether nothing is known, so that no request needs to be looked up. */
  get isEmpty(): boolean {
    return this.crashes.size === 0;
  }

  /** The requests that run only as tries, and those that are not tried again. */
  get suspectedRequests(): readonly string[] {
    return [...this.endpointsOf.keys()].filter(request =>
      this.isSuspected(request),
    );
  }

  /** Whether a request runs only as a try, by the crashes at which it was present. */
  isSuspected(request: string): boolean {
    return this.crashCount(request) >= SUSPECT_CRASHES;
  }

  /** Number of requests that were present at a crash and not cleared. */
  get requestCount(): number {
    const all = [...this.endpointsOf.keys()];
    return all.filter(request => this.crashCount(request) > 0).length;
  }

  /** Number of endpoints that crashed while they began to run the request. */
  crashCount(request: string): number {
    return this.crashTimes(request).length;
  }

  /**
   * Records a crash, or adds requests to a known one.
   *
   * @returns Whether any of its requests was new.
   */
  recordCrash(crash: EndpointCrash): boolean {
    const {endpoint} = crash;
    if (this.withdrawn.has(endpoint) || crash.requests.length === 0) {
      return false;
    }
    const known = this.crashes.get(endpoint);
    const requests = new Set([...(known?.requests ?? []), ...crash.requests]);
    const at = Math.min(known?.at ?? Infinity, crash.at);
    this.crashes.set(endpoint, {endpoint, at, requests: [...requests]});
    for (const request of crash.requests) {
      const endpoints = this.endpointsOf.get(request) ?? new Set();
      this.endpointsOf.set(request, endpoints.add(endpoint));
    }
    this.dropOldest();
    return requests.size > (known?.requests.length ?? 0);
  }

  /**
   * Takes a crash back, because the endpoint was at work at a later time.
   *
   * @returns Whether there was such a crash.
   */
  withdrawCrash(endpoint: string, livedAt: number): boolean {
    if (livedAt <= (this.crashes.get(endpoint)?.at ?? Infinity)) {
      return false;
    }
    this.dropCrash(endpoint);
    this.withdrawn.set(endpoint, livedAt);
    return true;
  }

  /**
   * Records a complete answer to a request, which clears it.
   *
   * @returns Whether it was suspected.
   */
  recordSuccess(request: string, now: number): boolean {
    const wasSuspected = this.crashCount(request) > 0;
    if (wasSuspected) {
      this.successes.set(request, now);
    }
    return wasSuspected;
  }

  /** Records that a try of a request was permitted. */
  recordTry(request: string, now: number): void {
    this.tries.set(request, [...(this.tries.get(request) ?? []), now]);
  }

  /** Decides on a request that arrives. */
  decide(request: string, now: number): SuspectDecision {
    const crashTimes = this.crashTimes(request);
    if (crashTimes.length < SUSPECT_CRASHES) {
      return SERVE;
    }
    this.arrivals.set(request, now);
    const triedAt = this.tries.get(request) ?? [];
    const lastAt = Math.max(...crashTimes, ...triedAt);
    const pause = pauseBeforeTry(crashTimes, triedAt);
    const wait = lastAt + pause - now;
    return wait <= 0
      ? {verdict: SuspectVerdict.Try, waitMilliseconds: 0}
      : {
          verdict: SuspectVerdict.Refuse,
          waitMilliseconds: Math.min(wait, MEMORY_MILLISECONDS),
        };
  }

  /** Everything that is known. */
  get knowledge(): SuspectKnowledge {
    return {
      crashes: [...this.crashes.values()],
      tries: [...this.tries].flatMap(([request, times]) =>
        times.map(at => ({request, at})),
      ),
      successes: [...this.successes].map(([request, at]) => ({request, at})),
    };
  }

  /**
   * Adds what another host knows. Times of one event differ between hosts by how
   * long messages take.
   *
   * @param toleranceMilliseconds Tries that are closer to each other are one.
   * @returns Engines of the crashes that were new.
   */
  merge(
    {crashes, tries, successes}: SuspectKnowledge,
    toleranceMilliseconds: number,
  ): readonly string[] {
    for (const {request, at} of successes) {
      const known = this.successes.get(request) ?? -Infinity;
      if (at > known + toleranceMilliseconds) {
        this.successes.set(request, at);
      }
    }
    for (const {request, at} of tries) {
      const known = this.tries.get(request) ?? [];
      if (known.every(time => Math.abs(time - at) > toleranceMilliseconds)) {
        this.recordTry(request, at);
      }
    }
    return crashes
      .filter(crash => this.recordCrash(crash))
      .map(({endpoint}) => endpoint);
  }

  /** Drops what no longer matters. */
  prune(now: number): void {
    const oldest = now - MEMORY_MILLISECONDS;
    for (const [endpoint, {at, requests}] of this.crashes) {
      const isOld = requests.every(request => this.lastAt(request) < oldest);
      if (at < oldest && isOld) {
        this.dropCrash(endpoint);
      }
    }
    for (const times of [this.withdrawn, this.successes, this.arrivals]) {
      dropBefore(times, oldest);
    }
    for (const [request, times] of this.tries) {
      if (Math.max(...times) < oldest && this.crashCount(request) === 0) {
        this.tries.delete(request);
      }
    }
  }

  /** Times of the crashes since the request's last success, ascending. */
  private crashTimes(request: string): readonly number[] {
    const clearedAt = this.successes.get(request) ?? -Infinity;
    return [...(this.endpointsOf.get(request) ?? [])]
      .map(endpoint => this.crashes.get(endpoint)?.at ?? -Infinity)
      .filter(at => at > clearedAt)
      .sort((one, other) => one - other);
  }

  private lastAt(request: string): number {
    return Math.max(
      this.arrivals.get(request) ?? -Infinity,
      ...(this.tries.get(request) ?? []),
    );
  }

  private dropOldest(): void {
    const [oldest] = this.crashes.keys();
    if (this.crashes.size > MAXIMUM_CRASHES && oldest !== undefined) {
      this.dropCrash(oldest);
    }
  }

  private dropCrash(endpoint: string): void {
    const requests = this.crashes.get(endpoint)?.requests ?? [];
    this.crashes.delete(endpoint);
    for (const request of requests) {
      const endpoints = this.endpointsOf.get(request);
      endpoints?.delete(endpoint);
      if (endpoints?.size === 0) {
        this.endpointsOf.delete(request);
      }
    }
  }
}

/** Pause after the last crash or try; infinite if no try is left. */
function pauseBeforeTry(
  crashTimes: readonly number[],
  triedAt: readonly number[],
): number {
  const guiltyAt = crashTimes[GUILTY_CRASHES - 1];
  if (guiltyAt === undefined) {
    return SUSPECT_PAUSE_MILLISECONDS;
  }
  const triesSince = triedAt.filter(at => at > guiltyAt).length;
  return GUILTY_PAUSES_MILLISECONDS[triesSince] ?? Infinity;
}

function dropBefore(times: Map<string, number>, oldest: number): void {
  for (const [key, at] of times) {
    if (at < oldest) {
      times.delete(key);
    }
  }
}
