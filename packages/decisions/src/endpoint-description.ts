/** An endpoint as configuration and the platform's list describe it. */
export interface EndpointDescription {
  readonly endpoint: string;
  readonly service: string;
  /** Models it serves; empty for an endpoint of a plain service. */
  readonly models: readonly string[];
  readonly dataCenter: string;
  /** Requests it works on at once, from all routers. */
  readonly slots: number;
  /** A leaving endpoint gets no new work. */
  readonly leaving: boolean;
}

/**
 * An engine's own report. It lags, and its cache events may have gaps. Same
 * shape as the platform's `EngineLoad`.
 */
export interface EngineLoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  readonly leaving: boolean;
  /** Hashes of cached prompt prefixes announced since the last report. */
  readonly cachedPrefixes: readonly string[];
  /** Rises with each cache event; a step beyond those announced is a gap. */
  readonly cacheSequence: number;
}
