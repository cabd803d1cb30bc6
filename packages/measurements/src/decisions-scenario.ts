import type {LoadPolicies} from '@wisteriadeal/decisions';

import type {EngineModel} from './decisions-engine.js';
import type {Demand} from './decisions-workload.js';

/** How callers whose request was refused or late behave. */
export interface CallerBehaviour {
  /** Further tries of one request; 0 for none. */
  readonly retries: number;
  /** Whether they wait as long as a refusal says, or try again at once. */
  readonly obeysReturnTime: boolean;
}

/** How reports reach the router. */
export interface ReportBehaviour {
  readonly intervalMilliseconds: number;
  readonly lagMilliseconds: number;
  /** Part of the cache events that is lost on the way. */
  readonly lostCacheEvents: number;
}

/** One run of one router's decisions against modelled engines. */
export interface Simulation {
  readonly engines: readonly EngineModel[];
  readonly demands: readonly Demand[];
  readonly callers: CallerBehaviour;
  readonly reports: ReportBehaviour;
  readonly tripMilliseconds: number;
  readonly maximumQueuedRequests: number;
  /** Requests offered from then on are counted. */
  readonly measureFrom: number;
  readonly measureUntil: number;
  readonly createPolicies: (fraction: () => number) => LoadPolicies;
  readonly seed: number;
}

export const SIMULATED_DATA_CENTER = 'kigali-1';
