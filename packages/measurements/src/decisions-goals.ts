import {atLeast, atMost, p99Ratio, type Judge} from './decisions-case.js';

/** The organisation that has its demand scaled. */
export const HEAVY_POSITION = 4;

const LARGEST_TAKEN_SHARE = 0.05;

/** What the heavy organisation took from each of the others. */
export const judgeSkew: Judge = ([without, beside]) => {
  const before = without?.chosen.usefulTokensByOrganisation ?? {};
  const after = beside?.chosen.usefulTokensByOrganisation ?? {};
  const taken = Object.entries(before)
    .filter(([name]) => !name.endsWith(`-${HEAVY_POSITION}`))
    .map(([name, tokens]) => 1 - (after[name] ?? 0) / tokens);
  return [
    atMost(
      'taken from any organisation within its share',
      LARGEST_TAKEN_SHARE,
      Math.max(...taken),
    ),
  ];
};

const LARGEST_SLOW_RATIO = 1.2;

/** What one slow endpoint costs, once it had 5 s to be noticed. */
export const judgeSlow: Judge = ([without, slow]) => [
  atMost(
    'interactive p99 with one slow endpoint, over that without it',
    LARGEST_SLOW_RATIO,
    p99Ratio(slow, without),
  ),
];

const SMALLEST_USEFUL_SHARE = 0.95;
const LARGEST_P99_RATIO = 1.5;

/** Whether overload leaves useful work and interactive latency alone. */
export const judgeSaturation: Judge = (variants, capacityWorkShare) => {
  const [low, , high, highest] = variants;
  const useful = highest?.chosen.usefulWorkShare ?? 0;
  return [
    atLeast(
      'useful work at 3 times capacity, over what capacity allows',
      SMALLEST_USEFUL_SHARE,
      useful / capacityWorkShare,
    ),
    atMost(
      'interactive p99 at 1.5 times capacity, over that at 0.8',
      LARGEST_P99_RATIO,
      p99Ratio(high, low),
    ),
  ];
};
