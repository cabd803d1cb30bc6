/** Properties of a request that determine the time until its answer starts. */
export interface PromptSize {
  /**
   * Tokens of the part that no other request shares, which is therefore
   * certainly not cached.
   */
  readonly ownTokens: number;
}

/** Bounds on the time to wait for the start of an answer. */
export interface FirstEventTimeoutBounds {
  /** Lower bound of the timeout, in milliseconds. */
  readonly minimumMilliseconds: number;
  /** The timeout is this factor times the expected time. */
  readonly expectedFactor: number;
}

/**
 * Fixed cost of a prompt, in tokens, added to its own tokens. It accounts for
 * scheduling, the handshake and shared parts that were not cached.
 */
const BASE_TOKENS = 1_000;
/**
 * Approximate number of answers covered by the mean. At this size the loss of
 * an endpoint shows within a second.
 */
const MEAN_WINDOW_ANSWERS = 12;

/**
 * Estimates how long answers of a service currently take to start, as observed
 * by this host: until the first event of a stream, or until the head of a
 * complete response.
 *
 * When three of six engines are lost, the first events of the others take ten
 * times as long. With a fixed timeout, streams would be moved although their
 * engine is working on them: each prompt would be read twice, and some requests
 * would run out of attempts. A prompt of 40,000 tokens takes over a second to
 * read even on an idle engine.
 */
export class AnswerEstimate {
  private meanMillisecondsPerToken = 0;
  private sampleCount = 0;

  /**
   * Records an answer that started.
   *
   * @param milliseconds Time until the answer started.
   */
  recordStart(prompt: PromptSize, milliseconds: number): void {
    this.updateMean(milliseconds / effectiveTokens(prompt));
  }

  /**
   * Records an answer that had not started when its timeout expired.
   *
   * @param milliseconds Time waited.
   */
  recordTimeout(prompt: PromptSize, milliseconds: number): void {
    this.updateMean(
      Math.max(
        this.meanMillisecondsPerToken,
        milliseconds / effectiveTokens(prompt),
      ),
    );
  }

  /**
   * Returns how long to wait for an answer to start.
   *
   * @returns Milliseconds.
   * @example
   * ```ts
   * estimate.timeoutMilliseconds({ownTokens: 300}, {minimumMilliseconds: 900, expectedFactor: 3});
   * ```
   */
  timeoutMilliseconds(
    prompt: PromptSize,
    bounds: FirstEventTimeoutBounds,
  ): number {
    const expected = this.meanMillisecondsPerToken * effectiveTokens(prompt);
    return Math.max(
      bounds.minimumMilliseconds,
      bounds.expectedFactor * expected,
    );
  }

  private updateMean(millisecondsPerToken: number): void {
    this.sampleCount = Math.min(MEAN_WINDOW_ANSWERS, this.sampleCount + 1);
    this.meanMillisecondsPerToken +=
      (millisecondsPerToken - this.meanMillisecondsPerToken) / this.sampleCount;
  }
}

function effectiveTokens({ownTokens}: PromptSize): number {
  return BASE_TOKENS + ownTokens;
}
