import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Seeded random numbers for one purpose, so that purposes don't disturb one another. */
export class SeededRandom {
  private readonly generator;

  /** @param purpose Another one gives other numbers under the same seed. */
  constructor(seed: number, purpose: string) {
    let mixed = seed;
    for (const letter of purpose) {
      mixed = Math.imul(mixed ^ letter.charCodeAt(0), 0x9e37_79b1);
    }
    this.generator = xoroshiro128plus(mixed);
  }

  /** A number from 0 (included) to 1 (excluded). */
  fraction(): number {
    return uniformFloat64(this.generator);
  }

  /** Exponentially distributed with the given mean. */
  exponential(mean: number): number {
    return -Math.log(1 - this.fraction()) * mean;
  }

  /** A whole number, both bounds included. */
  between(lowest: number, highest: number): number {
    return lowest + Math.floor(this.fraction() * (highest - lowest + 1));
  }

  /** Log-normally distributed around a median. */
  logNormal(median: number, sigma: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.fraction()));
    const normal = radius * Math.cos(2 * Math.PI * this.fraction());
    return median * Math.exp(sigma * normal);
  }
}
