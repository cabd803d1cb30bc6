import {RandomSource} from '@wisteriadeal/platform';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

const IDENTIFIER_WORDS = 4;
const WORD_DIGITS = 8;
const LARGEST_WORD = 0xffff_ffff;

/** Pseudo-random numbers that are reproducible for a seed. */
export class SeededRandomSource extends RandomSource {
  private readonly generator: ReturnType<typeof xoroshiro128plus>;

  /** @param seed Seed of the generator, a whole number. */
  constructor(seed: number) {
    super();
    this.generator = xoroshiro128plus(seed);
  }

  override identifier(): string {
    return Array.from({length: IDENTIFIER_WORDS}, () =>
      uniformInt(this.generator, 0, LARGEST_WORD)
        .toString(16)
        .padStart(WORD_DIGITS, '0'),
    ).join('');
  }

  override fraction(): number {
    return uniformInt(this.generator, 0, LARGEST_WORD) / (LARGEST_WORD + 1);
  }

  /**
   * Returns a whole number from 0 (inclusive) to `limit` (exclusive).
   *
   * @example
   * ```ts
   * const host = hosts[random.below(hosts.length)];
   * ```
   */
  below(limit: number): number {
    return uniformInt(this.generator, 0, limit - 1);
  }
}
