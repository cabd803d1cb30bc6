import type {Backlog} from './queue-policy.js';

/** Each new sample counts so much; about the last hundred matter. */
const SAMPLE_SHARE = 0.02;

/**
 * A sample counts at most as so many times the expectation, so that one slow
 * endpoint does not move what is expected of all.
 */
const HIGHEST_SAMPLE_RATIO = 3;

/** Prompts must vary by so many tokens before their effect is believed. */
const LOWEST_PROMPT_DEVIATION = 16;

/**
 * What one lane's endpoints have taken lately: the time to the first token as a
 * line over the prompt's length, the time of each further token, and how much
 * of the permitted output is used. Exponentially forgetting means; nothing is
 * expected before the first sample.
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

  /** True once a first token has been seen. */
  get isKnown(): boolean {
    return this.samples > 0;
  }

  /** Expected time from placement to the first token, in milliseconds. */
  firstTokenMilliseconds(promptTokens: number): number {
    if (this.promptVariance < LOWEST_PROMPT_DEVIATION ** 2) {
      return this.meanFirstToken;
    }
    const slope = Math.max(0, this.covariance / this.promptVariance);
    const line = this.meanFirstToken + slope * (promptTokens - this.meanPrompt);
    return Math.max(line, this.meanFirstToken / HIGHEST_SAMPLE_RATIO);
  }

  /** Expected time that an amount of work holds slots, in milliseconds. */
  serviceMilliseconds(work: Backlog): number {
    return (
      work.requests * this.meanFirstToken +
      work.outputTokens * this.usedOutputShare * this.tokenMilliseconds
    );
  }

  /** Learns a time to first token. */
  observeFirstToken(promptTokens: number, milliseconds: number): void {
    const expected = this.isKnown
      ? this.firstTokenMilliseconds(promptTokens)
      : milliseconds;
    const sample = Math.min(milliseconds, expected * HIGHEST_SAMPLE_RATIO);
    this.samples++;
    const share = Math.max(SAMPLE_SHARE, 1 / this.samples);
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

  /** How long an answer's tokens took, over what was expected. */
  answerRatio(outputTokens: number, milliseconds: number): number {
    const expected = outputTokens * this.tokenMilliseconds;
    return expected > 0 ? milliseconds / expected : Infinity;
  }

  /** Learns from a whole answer. */
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
    const share = this.hasTokenSample ? SAMPLE_SHARE : 1;
    const highest = this.hasTokenSample
      ? this.tokenMilliseconds * HIGHEST_SAMPLE_RATIO
      : perToken;
    this.hasTokenSample = true;
    this.tokenMilliseconds +=
      share * (Math.min(perToken, highest) - this.tokenMilliseconds);
    this.usedOutputShare += share * (used - this.usedOutputShare);
  }
}
