/**
 * Randomness, behind a class so that tests can seed it.
 */
export abstract class RandomSource {
  /** A fresh identifier of 128 random bits in lower-case hexadecimal. */
  abstract identifier(): string;

  /** A number from 0 (included) to 1 (excluded). */
  abstract fraction(): number;
}
