import type {BudgetPreference, EndpointState} from '@wisteriadeal/schema';

/** A reference to a service, as the builder's methods return it. */
export interface ServiceReference {
  readonly name: string;
}

/** A model of a service. */
export interface ModelOptions {
  readonly name: string;
  /** Maximum number of tokens in one answer. */
  readonly maximumOutputTokens: number;
  /**
   * Output token limit of a request that sets none. Defaults to 256, or to
   * `maximumOutputTokens` if that is lower.
   */
  readonly defaultOutputTokens?: number;
  /**
   * Lower bound of the prompt bytes that one prompt token covers. Defaults to
   * 1, which is always safe.
   */
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
  /** Path on the endpoint, starting with a slash. */
  readonly path: string;
  /** Whether running the call twice has the same effect as running it once. */
  readonly idempotent: boolean;
  /** Price of one call, in tokens. */
  readonly tokens: number;
  /**
   * Path that returns the outcome of an earlier call, named by the query
   * parameter `requestId`. Leave it out if the service has none.
   */
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
  /** IP address and port, such as `10.0.0.7:8000`. */
  readonly address: string;
  /** Number of requests that the endpoint processes concurrently. */
  readonly slots: number;
  /**
   * Whether the endpoint rejects an order with an outdated fencing number;
   * defaults to false.
   */
  readonly checksFencingNumbers?: boolean;
  /** Defaults to `ACTIVE`. */
  readonly state?: EndpointState;
}

/** A caller with its secret, or with the hexadecimal SHA-256 hash of it. */
export type CallerOptions =
  | {readonly name: string; readonly secret: string}
  | {readonly name: string; readonly credentialSha256: string};

/** An organisation. */
export interface OrganisationOptions {
  /**
   * Tokens credited once, when a configuration with this organisation is first
   * accepted.
   */
  readonly openingBudgetTokens: number;
  readonly callers: readonly CallerOptions[];
  /** The services that the organisation may call. */
  readonly services: readonly ServiceReference[];
  /**
   * Share of the fleet under contention, relative to other organisations;
   * defaults to 1.
   */
  readonly weight?: number;
  /** Defaults to `AVOID_UNCLEAR_BILLS`. */
  readonly budgetPreference?: BudgetPreference;
}

/** Limits that apply to all callers; each has a default. */
export interface LimitOptions {
  readonly maximumBodyBytes?: number;
  readonly requestReceiveTimeoutMilliseconds?: number;
  readonly interactiveDeadlineMilliseconds?: number;
  readonly batchDeadlineMilliseconds?: number;
  /** How long an answer is kept for a retry of the same request. */
  readonly keptAnswerMilliseconds?: number;
}
