import type {Backlog} from './queue-policy.js';

/**
 * Smoothing factor of a new sample; the mean covers about the last hundred
 * samples.
 */
const SMOOTHING_FACTOR = 0.02;

/**
 * Maximum ratio of a sample to its expected value, so that one slow endpoint
 * does not change the expectation for all of them.
 */
const MAXIMUM_SAMPLE_RATIO = 3;

/**
 * Minimum standard deviation of prompt lengths, in tokens, for their effect on
 * the time to first token to be used.
 */
const MINIMUM_PROMPT_DEVIATION_TOKENS = 16;

/**
 * Recent timing of one lane's endpoints: the time to first token as a linear
 * function of the prompt length, the time per further token, and the used share
 * of the permitted output. All are exponentially weighted moving averages. The
 * expected times are 0 before the first sample.
 */
export class ServiceTiming {
  private samples = 0;
  private meanPrompt = 0;
  private meanFirstToken = 0;
  private promptVariance = 0;
  private covariance = 0;
  private tokenMilliseconds = 0;
  private usedOutputShare = 1;
  private hasTokenSample = false;

  /** True after the first sample of a time to first token. */
  get hasFirstTokenSample(): boolean {
    return this.samples > 0;
  }

  /** Expected time from placement to the first token, in milliseconds. */
  firstTokenMilliseconds(promptTokens: number): number {
    if (this.promptVariance < MINIMUM_PROMPT_DEVIATION_TOKENS ** 2) {
      return this.meanFirstToken;
    }
    const slope = Math.max(0, this.covariance / this.promptVariance);
    const line = this.meanFirstToken + slope * (promptTokens - this.meanPrompt);
    return Math.max(line, this.meanFirstToken / MAXIMUM_SAMPLE_RATIO);
  }

  /** Expected slot time of an amount of work, in milliseconds. */
  serviceMilliseconds(work: Backlog): number {
    return (
      work.requests * this.meanFirstToken +
      work.outputTokens * this.usedOutputShare * this.tokenMilliseconds
    );
  }

  /** Records a time to first token. */
  observeFirstToken(promptTokens: number, milliseconds: number): void {
    const expected = this.hasFirstTokenSample
      ? this.firstTokenMilliseconds(promptTokens)
      : milliseconds;
    const sample = Math.min(milliseconds, expected * MAXIMUM_SAMPLE_RATIO);
    this.samples++;
    const share = Math.max(SMOOTHING_FACTOR, 1 / this.samples);
    const promptDifference = promptTokens - this.meanPrompt;
    this.meanPrompt += share * promptDifference;
    this.meanFirstToken += share * (sample - this.meanFirstToken);
    this.promptVariance +=
      share *
      (promptDifference * (promptTokens - this.meanPrompt) -
        this.promptVariance);
    this.covariance +=
      share *
      (promptDifference * (sample - this.meanFirstToken) - this.covariance);
  }

  /** Returns the ratio of an answer's generation time to the expected one. */
  answerRatio(outputTokens: number, milliseconds: number): number {
    const expected = outputTokens * this.tokenMilliseconds;
    return expected > 0 ? milliseconds / expected : Infinity;
  }

  /** Records a complete answer. */
  observeAnswer(
    maximumOutputTokens: number,
    outputTokens: number,
    millisecondsAfterFirstToken: number,
  ): void {
    if (outputTokens === 0 || maximumOutputTokens === 0) {
      return;
    }
    const perToken = millisecondsAfterFirstToken / outputTokens;
    const used = Math.min(1, outputTokens / maximumOutputTokens);
    const share = this.hasTokenSample ? SMOOTHING_FACTOR : 1;
    const highest = this.hasTokenSample
      ? this.tokenMilliseconds * MAXIMUM_SAMPLE_RATIO
      : perToken;
    this.hasTokenSample = true;
    this.tokenMilliseconds +=
      share * (Math.min(perToken, highest) - this.tokenMilliseconds);
    this.usedOutputShare += share * (used - this.usedOutputShare);
  }
}
