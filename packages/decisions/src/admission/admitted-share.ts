import type {BeginDelay} from './begin-delays.js';

/** Parts of the objective between which fewer and fewer requests are sent. */
interface ShareBounds {
  /** A confirmed delay of this size is evidence of saturation. */
  readonly evidence: number;
  /** Everything is sent up to this expected delay. */
  readonly all: number;
  /** Nothing is sent from this expected delay on. */
  readonly none: number;
}

/** An expectation is evidence by itself if it rests on as many observations. */
const MANY_OBSERVATIONS = 4;
/** Only late requests are evidence against the most urgent ones. */
const MOST_URGENT: ShareBounds = {evidence: 1, all: 0.6, none: 1};
/**
 * A delay that is observed lags behind by itself. When twice what engines bear arrives,
 * the next request waits about twice as long as the one that has just begun.
 */
const LESS_URGENT: ShareBounds = {evidence: 0.5, all: 0.35, none: 0.55};

/**
 * Returns the part of the requests of a priority that a host sends, from 0 to 1. It is
 * a share, not a number, so that busy and quiet hosts treat callers alike.
 */
export function admittedShare(
  delay: BeginDelay,
  objectiveMilliseconds: number,
  isMostUrgent: boolean,
): number {
  const {evidence, all, none} = isMostUrgent ? MOST_URGENT : LESS_URGENT;
  const enough = evidence * objectiveMilliseconds;
  const hasEvidence =
    delay.confirmedMilliseconds >= enough ||
    (delay.observations >= MANY_OBSERVATIONS && delay.milliseconds >= enough);
  if (objectiveMilliseconds <= 0 || !hasEvidence) {
    return 1;
  }
  const expected = delay.milliseconds / objectiveMilliseconds;
  return Math.min(1, Math.max(0, (none - expected) / (none - all)));
}
