import {fc, test} from '@fast-check/vitest';
import {expect} from 'vitest';

import {BodyParts} from '../body-parts.js';

const chunk = fc.oneof(
  fc.uint8Array({maxLength: 4}),
  fc.uint8Array({minLength: 200, maxLength: 300}),
);

test.prop({chunks: fc.array(chunk, {maxLength: 100}), repeats: fc.nat(40)})(
  'joins chunks of all sizes in their order',
  ({chunks, repeats}) => {
    const all = Array.from({length: repeats}, () => chunks).flat();
    const parts = new BodyParts();
    all.forEach(each => {
      parts.add(Buffer.from(each));
    });
    expect(parts.join().equals(Buffer.concat(all))).toBe(true);
  },
);
