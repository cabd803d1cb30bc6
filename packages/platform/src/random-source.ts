/**
 * Source of random values; tests replace it with a seeded one.
 */
export abstract class RandomSource {
  /** A new identifier of 128 random bits in lower-case hexadecimal. */
  abstract identifier(): string;

  /** A random number from 0 (inclusive) to 1 (exclusive). */
  abstract fraction(): number;
}
