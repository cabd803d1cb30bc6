import {decisionsCase, type DecisionsCase} from './decisions-case.js';
import {
  demands,
  modelledFleet,
  NORMAL_MIX,
  WARM_UP_MILLISECONDS,
} from './decisions-fleet.js';
import {
  HEAVY_ORGANISATION_INDEX,
  checkSaturationGoals,
  checkSkewGoals,
  checkSlowEndpointGoals,
} from './decisions-goals.js';
import {TUTOR_REPLY, type WorkShape} from './decisions-workload.js';

/**
 * Returns true if a time is within a span that starts `from` milliseconds after the
 * warm-up.
 */
function isWithin(now: number, from: number, length: number): boolean {
  const since = now - WARM_UP_MILLISECONDS - from;
  return since >= 0 && since < length;
}

const BURST_EVERY_MILLISECONDS = 15_000;
const BURST_MILLISECONDS = 2_000;
const BURST_SCALE = 4;

const burst = decisionsCase({
  name: 'burst',
  description: 'four times a moderate load for 2 s, every 15 s',
  variants: rate => [
    {
      name: '0.6 of capacity, 4 times that for 2 s every 15 s',
      changes: {
        demands: demands(
          0.6 * rate,
          NORMAL_MIX,
          (_, now) =>
            now % BURST_EVERY_MILLISECONDS < BURST_MILLISECONDS
              ? BURST_SCALE
              : 1,
          () => BURST_SCALE,
        ),
      },
    },
  ],
});

const HEAVY_SCALE = 10;

const skewedDemand = decisionsCase({
  name: 'skewed-demand',
  description: 'one organisation at ten times its share',
  checkGoals: checkSkewGoals,
  variants: rate => [
    {
      name: 'all within their shares, 0.95 of capacity',
      changes: {demands: demands(0.95 * rate)},
    },
    {
      name: 'one at ten times its share beside them',
      changes: {
        demands: demands(
          0.95 * rate,
          NORMAL_MIX,
          position => (position === HEAVY_ORGANISATION_INDEX ? HEAVY_SCALE : 1),
          position => (position === HEAVY_ORGANISATION_INDEX ? HEAVY_SCALE : 1),
        ),
      },
    },
  ],
});

const SLOW_FACTOR = 10;
const DETECTION_MILLISECONDS = 5_000;

const slowEndpoint = decisionsCase({
  name: 'slow-endpoint',
  description: 'one endpoint of eight ten times slower',
  checkGoals: checkSlowEndpointGoals,
  variants: rate => {
    const slowFrom = WARM_UP_MILLISECONDS - DETECTION_MILLISECONDS;
    return [
      {
        name: 'without the endpoint, 0.7 of capacity',
        changes: {
          demands: demands(0.7 * rate),
          engines: modelledFleet(() => ({}), 7),
        },
      },
      {
        name: 'one endpoint ten times slower, from 5 s on',
        changes: {
          demands: demands(0.7 * rate),
          engines: modelledFleet(position => ({
            slowness: now =>
              position === 0 && now > slowFrom ? SLOW_FACTOR : 1,
          })),
        },
      },
      {
        name: 'one endpoint ten times slower, the first 5 s counted too',
        changes: {
          demands: demands(0.7 * rate),
          engines: modelledFleet(position => ({
            slowness: now =>
              position === 0 && now > WARM_UP_MILLISECONDS ? SLOW_FACTOR : 1,
          })),
        },
      },
    ];
  },
});

/** Interactive work with prompts and answers of very different lengths. */
const MIXED_LENGTHS: readonly WorkShape[] = [
  {...TUTOR_REPLY, share: 0.6, ownPromptTokens: 60, outputTokens: 30},
  {
    ...TUTOR_REPLY,
    share: 0.25,
    ownPromptTokens: 400,
    outputTokens: 200,
    sigma: 0.8,
  },
  {
    ...TUTOR_REPLY,
    share: 0.15,
    ownPromptTokens: 3_000,
    outputTokens: 500,
    sigma: 0.8,
    deadlineMilliseconds: 4_000,
  },
];

const mixedLengths = decisionsCase({
  name: 'mixed-lengths',
  description: 'prompts and answers of very different lengths',
  shapes: MIXED_LENGTHS,
  variants: rate => [
    {
      name: '0.8 of capacity',
      changes: {demands: demands(0.8 * rate, MIXED_LENGTHS)},
    },
    {
      name: '1.2 of capacity',
      changes: {demands: demands(1.2 * rate, MIXED_LENGTHS)},
    },
  ],
});

const SATURATION_LOADS = [0.8, 1, 1.5, 3];

/**
 * When all work is interactive, an unbounded queue lets every request miss its
 * deadline.
 */
const ONLY_TUTOR_REPLIES: readonly WorkShape[] = [{...TUTOR_REPLY, share: 1}];
const REPLY_SCALE = 2;

const saturation = decisionsCase({
  name: 'saturation',
  description: '0.8, 1, 1.5 and 3 times capacity',
  checkGoals: checkSaturationGoals,
  variants: rate => [
    ...SATURATION_LOADS.map(load => ({
      name: `${load} of capacity`,
      changes: {demands: demands(load * rate)},
    })),
    {
      name: 'beyond capacity, interactive work only',
      changes: {demands: demands(3 * REPLY_SCALE * rate, ONLY_TUTOR_REPLIES)},
    },
  ],
});

const STORM_FROM_MILLISECONDS = 5_000;
const STORM_MILLISECONDS = 10_000;
const STORM_SCALE = 3;
const STORM_RETRIES = 3;

const retryStorm = decisionsCase({
  name: 'retry-storm',
  description: 'callers retry up to three times during a 10 s overload',
  variants: rate =>
    [true, false].map(honoursRetryAfter => ({
      name: `0.8 of capacity, 3 times that for 10 s, callers ${
        honoursRetryAfter ? 'obey the time to return' : 'try again at once'
      }`,
      changes: {
        demands: demands(
          0.8 * rate,
          NORMAL_MIX,
          (_, now) =>
            isWithin(now, STORM_FROM_MILLISECONDS, STORM_MILLISECONDS)
              ? STORM_SCALE
              : 1,
          () => STORM_SCALE,
        ),
        callers: {retries: STORM_RETRIES, honoursRetryAfter},
      },
    })),
});

const cacheEvents = decisionsCase({
  name: 'late-and-gappy-cache-events',
  description: 'cache events of the engines are delayed and partly lost',
  variants: rate => [
    {
      name: 'events after 0.5 s, none lost',
      changes: {demands: demands(0.7 * rate)},
    },
    {
      name: 'events after 5 s, half of them lost',
      changes: {
        demands: demands(0.7 * rate),
        reports: {
          intervalMilliseconds: 500,
          lagMilliseconds: 5_000,
          lostCacheEventShare: 0.5,
        },
      },
    },
  ],
});

const FLASH_FROM_MILLISECONDS = 20_000;
const FLASH_MILLISECONDS = 20_000;
const FLASH_SCALE = 40;

const flashCrowd = decisionsCase({
  name: 'flash-crowd',
  description: 'one organisation at 40 times its rate for 20 s',
  variants: rate => [
    {
      name: '0.6 of capacity, one organisation 40 times its rate for 20 s',
      changes: {
        demands: demands(
          0.6 * rate,
          NORMAL_MIX,
          (position, now) =>
            position === HEAVY_ORGANISATION_INDEX &&
            isWithin(now, FLASH_FROM_MILLISECONDS, FLASH_MILLISECONDS)
              ? FLASH_SCALE
              : 1,
          position => (position === HEAVY_ORGANISATION_INDEX ? FLASH_SCALE : 1),
        ),
      },
    },
  ],
});

const LOCAL_ENGINES = 8;
const ALL_ENGINES = 24;

const dataCenterShift = decisionsCase({
  name: 'data-center-shift',
  description:
    'one data centre loaded to twice its capacity while others are idle',
  variants: rate =>
    [3, 60].map(roundTripMilliseconds => ({
      name: `twice the own capacity beside two idle data centres ${roundTripMilliseconds} ms away`,
      changes: {
        demands: demands(2 * rate),
        roundTripMilliseconds,
        engines: modelledFleet(
          position =>
            position < LOCAL_ENGINES
              ? {}
              : {dataCenter: position % 2 === 0 ? 'kigali-2' : 'kigali-3'},
          ALL_ENGINES,
        ),
      },
    })),
});

/** All cases that simulate placement decisions under load. */
export const DECISIONS_CASES: readonly DecisionsCase[] = [
  burst,
  skewedDemand,
  slowEndpoint,
  mixedLengths,
  saturation,
  retryStorm,
  cacheEvents,
  flashCrowd,
  dataCenterShift,
];
