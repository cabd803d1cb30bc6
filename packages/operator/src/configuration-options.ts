import type {BudgetPreference, EndpointState} from '@wisteriadeal/schema';

/** A service that the builder has defined. */
export interface ServiceReference {
  readonly name: string;
}

/** A model of a service. */
export interface ModelOptions {
  readonly name: string;
  /** The most tokens one answer may have. */
  readonly maximumOutputTokens: number;
  /** Where the caller names no maximum; 256, or the maximum if lower. */
  readonly defaultOutputTokens?: number;
  /** Each prompt token covers at least this many bytes; 1 is always safe. */
  readonly minimumBytesPerPromptToken?: number;
}

/** A service of model engines. */
export interface ModelServiceOptions {
  readonly models: readonly ModelOptions[];
}

/** One call of a plain service. */
export interface CallOptions {
  readonly name: string;
  readonly method: 'GET' | 'POST' | 'PUT' | 'PATCH' | 'DELETE';
  /** Path at the endpoint, starting with a slash. */
  readonly path: string;
  /** True where running the call twice has the effect of running it once. */
  readonly idempotent: boolean;
  /** Price of one call. */
  readonly tokens: number;
  /** Tells the outcome of an earlier call by `?requestId=`. */
  readonly outcomePath?: string;
}

/** A plain service. */
export interface PlainServiceOptions {
  readonly calls: readonly CallOptions[];
}

/** An endpoint. */
export interface EndpointOptions {
  readonly service: ServiceReference;
  readonly dataCenter: string;
  /** `IP:port`. */
  readonly address: string;
  /** Requests it works on at once. */
  readonly slots: number;
  /** True where it refuses an order with an old fencing number; false by default. */
  readonly checksFencingNumbers?: boolean;
  /** Active by default. */
  readonly state?: EndpointState;
}

/** A caller, by its secret or by the secret's SHA-256. */
export type CallerOptions =
  | {readonly name: string; readonly secret: string}
  | {readonly name: string; readonly credentialSha256: string};

/** An organisation. */
export interface OrganisationOptions {
  /** Credited once, when the organisation first appears. */
  readonly openingBudgetTokens: number;
  readonly callers: readonly CallerOptions[];
  /** The services that it may reach. */
  readonly services: readonly ServiceReference[];
  /** Share under contention; 1 by default. */
  readonly weight?: number;
  /** Clear books by default. */
  readonly budgetPreference?: BudgetPreference;
}

/** Limits for all callers; each has a default. */
export interface LimitOptions {
  readonly maximumBodyBytes?: number;
  readonly requestReceiveTimeoutMilliseconds?: number;
  readonly interactiveDeadlineMilliseconds?: number;
  readonly batchDeadlineMilliseconds?: number;
  readonly keptAnswerMilliseconds?: number;
}
