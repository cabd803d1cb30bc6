/** What of a request decides how long its first event takes. */
export interface PromptSize {
  /** Tokens of the part that no other request shares: surely not cached. */
  readonly ownTokens: number;
}

/** The silence after which a stream is moved to another endpoint. */
export interface SilenceBounds {
  /** Never moved sooner, milliseconds. */
  readonly shortestMilliseconds: number;
  /** Moved only after so many times what is expected. */
  readonly expectedFactor: number;
}

/**
 * A prompt takes as long as its own tokens and these: scheduling, the handshake and
 * shared parts that were not cached.
 */
const BASE_TOKENS = 1_000;
/** The mean follows about so many streams; an endpoint's loss shows within a second. */
const MEAN_STREAMS = 12;

/**
 * How long a stream's first event takes at a service now, as this host sees it.
 *
 * Load: three of six engines are lost, and the first events of the others take over
 * a second. Harm with a fixed limit of 0.9 s: 235 streams of a day were moved though
 * their engine was at work, each prompt was read twice, and 55 of them were lost
 * with no attempt left. A prompt of 40,000 tokens takes over a second to read on an
 * idle engine.
 */
export class FirstEventEstimate {
  private perToken = 0;
  private streams = 0;

  /** A first event came. */
  came(prompt: PromptSize, milliseconds: number): void {
    this.learn(milliseconds / weightOf(prompt));
  }

  /** None came so long, and it was not waited for any longer. */
  missed(prompt: PromptSize, milliseconds: number): void {
    this.learn(Math.max(this.perToken, milliseconds / weightOf(prompt)));
  }

  /**
   * How long silence is borne before the first event.
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
    this.streams = Math.min(MEAN_STREAMS, this.streams + 1);
    this.perToken += (perToken - this.perToken) / this.streams;
  }
}

function weightOf({ownTokens}: PromptSize): number {
  return BASE_TOKENS + ownTokens;
}
