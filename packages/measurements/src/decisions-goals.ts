import {atLeast, atMost, p99Ratio, type GoalCheck} from './decisions-case.js';

/** Index of the organisation whose demand is scaled. */
export const HEAVY_ORGANISATION_INDEX = 4;

/** Share of its useful work that an organisation may lose. */
const MAXIMUM_LOSS_SHARE = 0.05;

/**
 * Checks how much useful work each other organisation loses when one exceeds its share.
 */
export const checkSkewGoals: GoalCheck = ([without, skewed]) => {
  const tokensBefore = without?.chosen.usefulTokensByOrganisation ?? {};
  const tokensAfter = skewed?.chosen.usefulTokensByOrganisation ?? {};
  const losses = Object.entries(tokensBefore)
    .filter(([name]) => !name.endsWith(`-${HEAVY_ORGANISATION_INDEX}`))
    .map(([name, tokens]) => 1 - (tokensAfter[name] ?? 0) / tokens);
  return [
    atMost(
      'taken from any organisation within its share',
      MAXIMUM_LOSS_SHARE,
      Math.max(...losses),
    ),
  ];
};

const MAXIMUM_SLOW_P99_RATIO = 1.2;

/** Checks the effect of a slow endpoint on latency, after 5 s for its detection. */
export const checkSlowEndpointGoals: GoalCheck = ([without, slow]) => [
  atMost(
    'interactive p99 with one slow endpoint, over that without it',
    MAXIMUM_SLOW_P99_RATIO,
    p99Ratio(slow, without),
  ),
];

const MINIMUM_USEFUL_SHARE = 0.95;
const MAXIMUM_OVERLOAD_P99_RATIO = 1.5;

/** Checks useful work and interactive latency under overload. */
export const checkSaturationGoals: GoalCheck = (
  variants,
  capacityWorkShare,
) => {
  const [low, , high, highest] = variants;
  const useful = highest?.chosen.usefulWorkShare ?? 0;
  return [
    atLeast(
      'useful work at 3 times capacity, over what capacity allows',
      MINIMUM_USEFUL_SHARE,
      useful / capacityWorkShare,
    ),
    atMost(
      'interactive p99 at 1.5 times capacity, over that at 0.8',
      MAXIMUM_OVERLOAD_P99_RATIO,
      p99Ratio(high, low),
    ),
  ];
};
