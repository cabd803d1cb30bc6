import type {ConfigurationInForce, RouterSettings} from '@wisteriadeal/schema';

/** Limits of one router, taken from its settings. */
export interface RouterLimits {
  /** Maximum bytes of ended answers kept for retries. */
  readonly keptAnswerBytes: number;
  readonly maximumQueuedRequests: number;
  /** Maximum duration of the drain in a graceful shutdown, in milliseconds. */
  readonly drainLimitMilliseconds: number;
}

/** 32 MiB, an eighth of the memory that a process may use for control data. */
const DEFAULT_KEPT_ANSWER_BYTES = 33_554_432;
const DEFAULT_MAXIMUM_QUEUED_REQUESTS = 1_000;
const DEFAULT_DRAIN_LIMIT_MILLISECONDS = 60_000;
const DEFAULT_KEPT_ANSWER_MILLISECONDS = 60_000;

function orDefault(value: number | undefined, fallback: number): number {
  return value === undefined || value === 0 ? fallback : value;
}

/** Reads the limits from the settings; 0 or unset selects the default. */
export function routerLimits(settings: RouterSettings): RouterLimits {
  return {
    keptAnswerBytes: orDefault(
      settings.keptAnswerBytes,
      DEFAULT_KEPT_ANSWER_BYTES,
    ),
    maximumQueuedRequests: orDefault(
      settings.maximumQueuedRequests,
      DEFAULT_MAXIMUM_QUEUED_REQUESTS,
    ),
    drainLimitMilliseconds: orDefault(
      settings.drainLimitMilliseconds,
      DEFAULT_DRAIN_LIMIT_MILLISECONDS,
    ),
  };
}

/** Milliseconds for which an ended answer is kept for retries of its caller. */
export function keptAnswerMilliseconds(
  inForce: ConfigurationInForce | undefined,
): number {
  return orDefault(
    inForce?.configuration?.limits?.keptAnswerMilliseconds,
    DEFAULT_KEPT_ANSWER_MILLISECONDS,
  );
}
