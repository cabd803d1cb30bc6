import type {ConfigurationInForce, RouterSettings} from '@wisteriadeal/schema';

/** Limits of one router that its settings give. */
export interface RouterLimits {
  /** Bytes of ended answers that are kept for retries. */
  readonly keptAnswerBytes: number;
  readonly maximumQueuedRequests: number;
  /** A graceful stop ends at the latest by then. */
  readonly drainLimitMilliseconds: number;
}

/** An eighth of the memory that a daemon may use for control. */
const DEFAULT_KEPT_ANSWER_BYTES = 33_554_432;
const DEFAULT_MAXIMUM_QUEUED = 1_000;
const DEFAULT_DRAIN_LIMIT_MILLISECONDS = 60_000;
const DEFAULT_KEPT_ANSWER_MILLISECONDS = 60_000;

function orDefault(value: number | undefined, fallback: number): number {
  return value === undefined || value === 0 ? fallback : value;
}

/** The limits of the settings, with a default for each that is left out. */
export function routerLimits(settings: RouterSettings): RouterLimits {
  return {
    keptAnswerBytes: orDefault(
      settings.keptAnswerBytes,
      DEFAULT_KEPT_ANSWER_BYTES,
    ),
    maximumQueuedRequests: orDefault(
      settings.maximumQueuedRequests,
      DEFAULT_MAXIMUM_QUEUED,
    ),
    drainLimitMilliseconds: orDefault(
      settings.drainLimitMilliseconds,
      DEFAULT_DRAIN_LIMIT_MILLISECONDS,
    ),
  };
}

/** How long an ended answer is kept for a retry of its caller. */
export function keptAnswerMilliseconds(
  inForce: ConfigurationInForce | undefined,
): number {
  return orDefault(
    inForce?.configuration?.limits?.keptAnswerMilliseconds,
    DEFAULT_KEPT_ANSWER_MILLISECONDS,
  );
}
