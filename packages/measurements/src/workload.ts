import {BudgetPreference} from '@wisteriadeal/operator';
import type {SeededRandomSource} from '@wisteriadeal/stand-ins';

import {
  RequestKind,
  type CallerIdentity,
  type CallerRequest,
} from './caller-request.js';

/** The model that all engines of the runner serve. */
export const MODEL = 'tutor-7b';
/** Names of the services in the runner's configuration. */
export const MODEL_SERVICE = 'tutor-models';
export const PLAIN_SERVICE = 'registry-app';
/** Price of one call of a plain service, in tokens. */
export const CALL_TOKENS = 5;

/** Range of the drawn answer lengths, and the `max_tokens` of all completions. */
const MINIMUM_ANSWER_TOKENS = 8;
const MAXIMUM_DRAWN_ANSWER_TOKENS = 40;
const ANSWER_TOKEN_LIMIT = 64;

/** An organisation in a workload. */
export interface OrganisationPlan {
  readonly name: string;
  readonly budgetTokens: number;
  readonly preference: BudgetPreference;
  readonly from: CallerIdentity;
  /** Kinds of its requests, drawn with equal probability. */
  readonly kinds: readonly RequestKind[];
  /** Weight of the organisation when requests are drawn. */
  readonly share: number;
}

function organisation(
  name: string,
  budgetTokens: number,
  preference: BudgetPreference,
  share: number,
  kinds: readonly RequestKind[],
): OrganisationPlan {
  const secret = `development-secret-of-${name}`;
  const from = {organisation: name, caller: 'app', secret};
  return {name, budgetTokens, preference, from, kinds, share};
}

const {AVOID_REFUSALS, AVOID_UNCLEAR_BILLS} = BudgetPreference;

/** Five organisations, the last of which exhausts its budget during a run. */
export const ORGANISATIONS: readonly OrganisationPlan[] = [
  organisation('kimironko-bar-school', 200_000, AVOID_REFUSALS, 4, [
    RequestKind.Stream,
    RequestKind.Stream,
    RequestKind.Whole,
  ]),
  organisation('lake-hotel-school', 200_000, AVOID_REFUSALS, 2, [
    RequestKind.Review,
    RequestKind.Stream,
  ]),
  organisation('licence-office', 100_000, AVOID_REFUSALS, 2, [
    RequestKind.NonIdempotentCall,
    RequestKind.IdempotentCall,
  ]),
  organisation('estimate-savers', 100_000, AVOID_UNCLEAR_BILLS, 2, [
    RequestKind.Stream,
    RequestKind.NonIdempotentCall,
    RequestKind.IdempotentCall,
  ]),
  organisation('small-venue', 1_500, AVOID_UNCLEAR_BILLS, 2, [
    RequestKind.Stream,
  ]),
];

/** Generates the organisations' requests from a seeded random source. */
export class Workload {
  private count = 0;

  /**
   * @param keyedShare Share (0 to 1) of completions that carry an idempotency key; calls
   *     of plain services always do.
   * @param name Prefix of the idempotency keys.
   */
  constructor(
    private readonly random: SeededRandomSource,
    private readonly keyedShare: number,
    private readonly name = 'demo',
  ) {}

  /** Returns `count` requests, of organisations drawn by their shares. */
  requests(
    count: number,
    organisations: readonly OrganisationPlan[] = ORGANISATIONS,
  ): CallerRequest[] {
    return Array.from({length: count}, () => this.next(organisations));
  }

  /** Returns a request of an organisation drawn by its share. */
  next(organisations: readonly OrganisationPlan[]): CallerRequest {
    const weighted = organisations.flatMap(plan =>
      Array.from({length: plan.share}, () => plan),
    );
    return this.request(this.pick(weighted));
  }

  /** Returns a request of the given organisation. */
  request(plan: OrganisationPlan): CallerRequest {
    const kind = this.pick(plan.kinds);
    const number = this.count++;
    const key = `${this.name}-${number}`;
    switch (kind) {
      case RequestKind.NonIdempotentCall:
        return this.call(plan, kind, key, ['certificates', 'deposits']);
      case RequestKind.IdempotentCall:
        return this.call(plan, kind, key, ['balances']);
      default: {
        const keyed = this.random.fraction() < this.keyedShare;
        return this.completion(plan, kind, keyed ? {key} : {}, number);
      }
    }
  }

  private completion(
    {name, from}: OrganisationPlan,
    kind: RequestKind.Stream | RequestKind.Whole | RequestKind.Review,
    key: {readonly key?: string},
    number: number,
  ): CallerRequest {
    const spread = MAXIMUM_DRAWN_ANSWER_TOKENS - MINIMUM_ANSWER_TOKENS + 1;
    const length = MINIMUM_ANSWER_TOKENS + this.random.below(spread);
    const prompt = `${name} asks question ${number} length=${length}`;
    const maximumTokens = ANSWER_TOKEN_LIMIT;
    return {kind, from, ...key, model: MODEL, prompt, maximumTokens};
  }

  private call(
    {name, from}: OrganisationPlan,
    kind: RequestKind.NonIdempotentCall | RequestKind.IdempotentCall,
    key: string,
    calls: readonly string[],
  ): CallerRequest {
    return {
      kind,
      from,
      key,
      service: PLAIN_SERVICE,
      call: this.pick(calls),
      method: 'POST',
      body: JSON.stringify({organisation: name, subject: key}),
      tokens: CALL_TOKENS,
    };
  }

  private pick<Item>(items: readonly Item[]): Item {
    const item = items[this.random.below(items.length)];
    if (item === undefined) {
      throw new Error('cannot pick from an empty list');
    }
    return item;
  }
}
