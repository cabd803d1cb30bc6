import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/**
 * A seeded random source for one purpose, so that draws for one purpose don't affect
 * those for another.
 */
export class SeededRandom {
  private readonly generator;

  /**
   * @param purpose Combined with the seed, so that each purpose has its own sequence.
   */
  constructor(seed: number, purpose: string) {
    let mixed = seed;
    for (const letter of purpose) {
      mixed = Math.imul(mixed ^ letter.charCodeAt(0), 0x9e37_79b1);
    }
    this.generator = xoroshiro128plus(mixed);
  }

  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  fraction(): number {
    return uniformFloat64(this.generator);
  }

  /** Returns an exponentially distributed number with the given mean. */
  exponential(mean: number): number {
    return -Math.log(1 - this.fraction()) * mean;
  }

  /** Returns a uniformly distributed integer; both bounds are inclusive. */
  between(minimum: number, maximum: number): number {
    return minimum + Math.floor(this.fraction() * (maximum - minimum + 1));
  }

  /** Returns a log-normally distributed number with the given median. */
  logNormal(median: number, sigma: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.fraction()));
    const normal = radius * Math.cos(2 * Math.PI * this.fraction());
    return median * Math.exp(sigma * normal);
  }
}
