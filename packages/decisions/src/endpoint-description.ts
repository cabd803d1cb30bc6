/**
 * An endpoint as described by the configuration and the platform's endpoint
 * list.
 */
export interface EndpointDescription {
  readonly endpoint: string;
  readonly service: string;
  /** Models that it serves; empty for an endpoint of a plain service. */
  readonly models: readonly string[];
  readonly dataCenter: string;
  /** Number of requests that it processes concurrently, from all routers. */
  readonly slots: number;
  /** A leaving endpoint receives no new work. */
  readonly leaving: boolean;
}

/**
 * Load report of an engine. It lags behind, and its cache events may have gaps.
 * It has the same shape as the platform's `EngineLoad`.
 */
export interface EngineLoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  readonly leaving: boolean;
  /**
   * Hashes of the cached prompt prefixes announced since the previous report.
   */
  readonly cachedPrefixes: readonly string[];
  /**
   * Increases with each cache event; an increase beyond the announced events is
   * a gap.
   */
  readonly cacheSequence: number;
}
