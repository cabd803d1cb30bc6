import type {LoadPolicies} from './load-policies.js';

/** What a core is made with. */
export interface LoadCoreOptions {
  /** The router's own data centre. */
  readonly dataCenter: string;
  /** Requests that may wait, over all services. */
  readonly maximumQueuedRequests: number;
  /** Random numbers from 0 (included) to 1 (excluded). */
  readonly fraction: () => number;
  /** Time to another data centre and back; without it, a default. */
  readonly tripMilliseconds?: (dataCenter: string) => number;
  /** Without them, the chosen ones. */
  readonly policies?: LoadPolicies;
}
