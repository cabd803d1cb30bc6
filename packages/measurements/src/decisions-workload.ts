import {WorkClass} from '@wisteriadeal/decisions';

import type {SeededRandom} from './decisions-random.js';

/** A kind of request, described by its median token counts. */
export interface WorkShape {
  readonly workClass: WorkClass;
  /** Share (0 to 1) of the organisation's requests. */
  readonly share: number;
  /**
   * Tokens of the shared prompt, which consists of the service's and the scenario's
   * part.
   */
  readonly sharedPromptTokens: number;
  readonly ownPromptTokens: number;
  readonly outputTokens: number;
  /** Standard deviation of the logarithm of the own prompt and output tokens. */
  readonly sigma: number;
  /** Maximum time from the offer to the first token. */
  readonly deadlineMilliseconds: number;
}

/** One organisation's demand. */
export interface Demand {
  readonly organisation: string;
  readonly weight: number;
  /** Returns the requests per second at a time in milliseconds. */
  readonly rate: (now: number) => number;
  /** Upper bound of `rate`. */
  readonly peakRate: number;
  readonly shapes: readonly WorkShape[];
  /** Number of scenarios among which requests share prompts. */
  readonly scenarios: number;
}

/** A simulated request with the token counts that it needs. */
export interface SimulatedRequest {
  readonly organisation: string;
  readonly weight: number;
  readonly workClass: WorkClass;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly maximumOutputTokens: number;
  readonly prefixes: readonly {
    readonly hash: string;
    readonly tokens: number;
  }[];
  readonly deadlineMilliseconds: number;
}

/** A tutor's reply: interactive, as a user waits for it. */
export const TUTOR_REPLY: WorkShape = {
  workClass: WorkClass.Interactive,
  share: 0.7,
  sharedPromptTokens: 600,
  ownPromptTokens: 150,
  outputTokens: 80,
  sigma: 0.5,
  deadlineMilliseconds: 2_000,
};

/** A graded case review: batch work, as no user waits for it. */
export const CASE_REVIEW: WorkShape = {
  workClass: WorkClass.Batch,
  share: 0.3,
  sharedPromptTokens: 800,
  ownPromptTokens: 900,
  outputTokens: 250,
  sigma: 0.5,
  deadlineMilliseconds: 30_000,
};

/** Length of an answer as a share of the maximum that its request states. */
const ANSWER_SHARE_OF_MAXIMUM = 0.6;
/** Share of the shared prompt that all requests of a shape have in common. */
const SERVICE_PROMPT_SHARE = 0.4;

function shapeOf(demand: Demand, random: SeededRandom): WorkShape {
  let remaining = random.fraction();
  for (const shape of demand.shapes) {
    remaining -= shape.share;
    if (remaining < 0) {
      return shape;
    }
  }
  const last = demand.shapes.at(-1);
  if (last === undefined) {
    throw new RangeError(`demand of ${demand.organisation} has no work shapes`);
  }
  return last;
}

function tokensAround(
  median: number,
  sigma: number,
  random: SeededRandom,
): number {
  return Math.max(1, Math.round(random.logNormal(median, sigma)));
}

/** Draws a request of an organisation. */
export function drawRequest(
  demand: Demand,
  random: SeededRandom,
): SimulatedRequest {
  const shape = shapeOf(demand, random);
  const scenario = random.between(1, demand.scenarios);
  const own = tokensAround(shape.ownPromptTokens, shape.sigma, random);
  const output = tokensAround(shape.outputTokens, shape.sigma, random);
  const service = Math.round(shape.sharedPromptTokens * SERVICE_PROMPT_SHARE);
  return {
    organisation: demand.organisation,
    weight: demand.weight,
    workClass: shape.workClass,
    promptTokens: shape.sharedPromptTokens + own,
    outputTokens: output,
    maximumOutputTokens: Math.ceil(output / ANSWER_SHARE_OF_MAXIMUM),
    prefixes: [
      {hash: `service-${shape.workClass}`, tokens: service},
      {
        hash: `${demand.organisation}-${shape.workClass}-${scenario}`,
        tokens: shape.sharedPromptTokens,
      },
    ],
    deadlineMilliseconds: shape.deadlineMilliseconds,
  };
}
