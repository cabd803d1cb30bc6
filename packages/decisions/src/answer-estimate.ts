/** What of a request decides how long its answer takes to begin. */
export interface PromptSize {
  /** Tokens of the part that no other request shares: surely not cached. */
  readonly ownTokens: number;
}

/** How long silence is borne. */
export interface SilenceBounds {
  /** Never less, milliseconds. */
  readonly shortestMilliseconds: number;
  /** So many times what is expected. */
  readonly expectedFactor: number;
}

/**
 * A prompt takes as long as its own tokens and these: scheduling, the handshake and
 * shared parts that were not cached.
 */
const BASE_TOKENS = 1_000;
/** The mean follows about so many answers; an endpoint's loss shows within a second. */
const MEAN_ANSWERS = 12;

/**
 * How long answers of a service take to begin now, as this host sees it: the first
 * event of a stream, or the head of a whole answer.
 *
 * Load: three of six engines are lost, and the first events of the others take ten
 * times as long. Harm with a fixed limit: streams are moved though their engine is at
 * work, each prompt is read twice, and some are lost with no attempt left. A prompt
 * of 40,000 tokens takes over a second to read on an idle engine.
 */
export class AnswerEstimate {
  private perToken = 0;
  private answers = 0;

  /** An answer began. */
  came(prompt: PromptSize, milliseconds: number): void {
    this.learn(milliseconds / weightOf(prompt));
  }

  /** None began so long, and it was not waited for any longer. */
  missed(prompt: PromptSize, milliseconds: number): void {
    this.learn(Math.max(this.perToken, milliseconds / weightOf(prompt)));
  }

  /**
   * How long silence is borne before an answer begins.
   *
   * @returns Milliseconds.
   * @example
   * ```ts
   * estimate.limit({ownTokens: 300}, {shortestMilliseconds: 900, expectedFactor: 3});
   * ```
   */
  limit(prompt: PromptSize, bounds: SilenceBounds): number {
    const expected = this.perToken * weightOf(prompt);
    return Math.max(
      bounds.shortestMilliseconds,
      bounds.expectedFactor * expected,
    );
  }

  private learn(perToken: number): void {
    this.answers = Math.min(MEAN_ANSWERS, this.answers + 1);
    this.perToken += (perToken - this.perToken) / this.answers;
  }
}

function weightOf({ownTokens}: PromptSize): number {
  return BASE_TOKENS + ownTokens;
}
