import {WorkClass} from '@wisteriadeal/decisions';

import type {SeededRandom} from './decisions-random.js';

/** A kind of request, by the medians of what it needs. */
export interface WorkShape {
  readonly workClass: WorkClass;
  /** Share of the organisation's requests. */
  readonly share: number;
  /** Tokens of the service's prompt and of the scenario's, both shared. */
  readonly sharedPromptTokens: number;
  readonly ownPromptTokens: number;
  readonly outputTokens: number;
  readonly sigma: number;
  /** From the offer until the first token. */
  readonly deadlineMilliseconds: number;
}

/** One organisation's demand. */
export interface Demand {
  readonly organisation: string;
  readonly weight: number;
  /** Requests a second, by time in milliseconds. */
  readonly rate: (now: number) => number;
  /** The highest that `rate` returns. */
  readonly peakRate: number;
  readonly shapes: readonly WorkShape[];
  /** Scenarios whose prompts its requests share. */
  readonly scenarios: number;
}

/** One request as its caller needs it. */
export interface CallerRequest {
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

/** A tutor's reply: a person waits for it. */
export const TUTOR_REPLY: WorkShape = {
  workClass: WorkClass.Interactive,
  share: 0.7,
  sharedPromptTokens: 600,
  ownPromptTokens: 150,
  outputTokens: 80,
  sigma: 0.5,
  deadlineMilliseconds: 2_000,
};

/** A graded case review: nobody waits at a screen. */
export const CASE_REVIEW: WorkShape = {
  workClass: WorkClass.Batch,
  share: 0.3,
  sharedPromptTokens: 800,
  ownPromptTokens: 900,
  outputTokens: 250,
  sigma: 0.5,
  deadlineMilliseconds: 30_000,
};

const ANSWER_SHARE_OF_MAXIMUM = 0.6;
/** Part of the shared prompt that all requests of a shape have in common. */
const SERVICE_PROMPT_SHARE = 0.4;

function shapeOf(demand: Demand, random: SeededRandom): WorkShape {
  let left = random.fraction();
  for (const shape of demand.shapes) {
    left -= shape.share;
    if (left < 0) {
      return shape;
    }
  }
  const last = demand.shapes.at(-1);
  if (last === undefined) {
    throw new RangeError(`${demand.organisation} has no shapes`);
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

/** Draws one request of an organisation. */
export function drawRequest(
  demand: Demand,
  random: SeededRandom,
): CallerRequest {
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
