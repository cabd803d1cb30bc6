import type {LoadPolicies} from './load-policies.js';

/** Options of a `LoadCore`. */
export interface LoadCoreOptions {
  /** The router's own data centre. */
  readonly dataCenter: string;
  /** Maximum number of queued requests, over all services. */
  readonly maximumQueuedRequests: number;
  /** Returns random numbers in [0, 1). */
  readonly fraction: () => number;
  /**
   * Round-trip time to another data centre in milliseconds; a default applies
   * if it is not set.
   */
  readonly roundTripMilliseconds?: (dataCenter: string) => number;
  /** Defaults to `chosenPolicies`. */
  readonly policies?: LoadPolicies;
}
