import type {FoldedGrant} from './budget-fold.js';
import type {Lender} from './loans.js';

/**
 * How long an answer of a lender counts while the store is unavailable. Only requests
 * that end give it tokens again then, and these take about two seconds.
 */
const ANSWER_VALID_MILLISECONDS = 2_000;

/** What a lender answered. */
interface LenderAnswer {
  /** Tokens that it could still lend. */
  readonly left: number;
  readonly answeredAt: number;
  /** Its grant in the fold at that time; another one means that it got tokens since. */
  readonly grant: FoldedGrant | undefined;
}

/** A lender with the tokens that it is expected to have. */
export interface RankedLender extends Lender {
  /** Tokens by its own answer, or by the log if it gave none lately. */
  readonly expected: number;
}

/**
 * What lenders of one organisation's budget have left, by their own answers. While the
 * store is unavailable and budgets run out, each refused request would otherwise ask the
 * same lenders again.
 *
 * @example
 * ```ts
 * const lenders = knowledge.rank(lendersByHeldTokens(fold, name, self), 'loan-7', now);
 * knowledge.recordAnswer(lenders[0], 0, now);
 * ```
 */
export class LenderKnowledge {
  private readonly answers = new Map<string, LenderAnswer>();

  /**
   * Records what a lender could still lend after its answer.
   *
   * @param left Tokens; undefined if it may get more from the store.
   * @param now Monotonic time, milliseconds.
   */
  recordAnswer(
    {incarnation, grant}: Lender,
    left: number | undefined,
    now: number,
  ): void {
    if (left === undefined) {
      this.answers.delete(incarnation);
    } else {
      this.answers.set(incarnation, {left, answeredAt: now, grant});
    }
  }

  /** Forgets all answers, because the store grants tokens again. */
  forget(): void {
    this.answers.clear();
  }

  /**
   * Orders lenders for one round of loans and leaves out those that had nothing left. The
   * order is random with the expected tokens as weights (Efraimidis and Spirakis, 2006):
   * hosts that all ask the one with the most tokens find it empty.
   *
   * @param round Identifier of the round, from which the order is computed.
   * @param now Monotonic time, milliseconds.
   */
  rank(
    lenders: readonly Lender[],
    round: string,
    now: number,
  ): readonly RankedLender[] {
    return lenders
      .map(lender => ({lender, expected: this.expectedTokens(lender, now)}))
      .filter(
        ({lender, expected}) => expected > 0 || !this.hasAnswer(lender, now),
      )
      .map(({lender, expected}) => ({
        ranked: {...lender, expected},
        key: expected / -Math.log(hashFraction(round + lender.incarnation)),
      }))
      .sort((one, other) => other.key - one.key)
      .map(({ranked}) => ranked);
  }

  private expectedTokens(lender: Lender, now: number): number {
    return this.validAnswer(lender, now)?.left ?? lender.held;
  }

  private hasAnswer(lender: Lender, now: number): boolean {
    return this.validAnswer(lender, now) !== undefined;
  }

  private validAnswer(
    {incarnation, grant}: Lender,
    now: number,
  ): LenderAnswer | undefined {
    const answer = this.answers.get(incarnation);
    const isValid =
      answer !== undefined &&
      answer.grant === grant &&
      now - answer.answeredAt < ANSWER_VALID_MILLISECONDS;
    return isValid ? answer : undefined;
  }
}

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Maps a text to a number above 0 and below 1 (FNV-1a with MurmurHash3's finalizer). */
function hashFraction(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  hash ^= hash >>> 16;
  return ((hash >>> 0) + 0.5) / 2 ** 32;
}
