import type {LoadPolicies} from '@wisteriadeal/decisions';

import type {EngineModel} from './decisions-engine.js';
import type {Demand} from './decisions-workload.js';

/** Behaviour of callers whose request was refused or missed its deadline. */
export interface CallerBehaviour {
  /** Maximum number of retries of a request. */
  readonly retries: number;
  /**
   * True if they wait as long as a refusal asks for, false if they retry after about
   * 100 ms.
   */
  readonly honoursRetryAfter: boolean;
}

/** How load reports reach the router. */
export interface ReportBehaviour {
  readonly intervalMilliseconds: number;
  readonly lagMilliseconds: number;
  /** Share (0 to 1) of the cache events that are lost. */
  readonly lostCacheEventShare: number;
}

/**
 * Parameters of a simulation of one router's decisions with modelled engines; times are
 * in milliseconds.
 */
export interface Simulation {
  readonly engines: readonly EngineModel[];
  readonly demands: readonly Demand[];
  readonly callers: CallerBehaviour;
  readonly reports: ReportBehaviour;
  readonly roundTripMilliseconds: number;
  readonly maximumQueuedRequests: number;
  /** Start of the measurement: only requests offered from then on are counted. */
  readonly measureFrom: number;
  readonly measureUntil: number;
  readonly createPolicies: (fraction: () => number) => LoadPolicies;
  readonly seed: number;
}

export const SIMULATED_DATA_CENTER = 'kigali-1';
