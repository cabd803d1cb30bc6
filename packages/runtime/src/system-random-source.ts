import {RandomSource} from '@wisteriadeal/platform';
import {randomBytes, randomInt} from 'node:crypto';

const IDENTIFIER_BYTES = 16;
const FRACTION_STEPS = 2 ** 32;

/** Cryptographic random numbers from the operating system. */
export class SystemRandomSource extends RandomSource {
  override identifier(): string {
    return randomBytes(IDENTIFIER_BYTES).toString('hex');
  }

  override fraction(): number {
    return randomInt(FRACTION_STEPS) / FRACTION_STEPS;
  }
}
