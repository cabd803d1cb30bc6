import {create} from '@bufbuild/protobuf';
import {ModelSchema} from '@wisteriadeal/schema';
import fc from 'fast-check';
import {expect, it} from 'vitest';

import {chargedTokens, completionBound} from '../bound.js';

const model = create(ModelSchema, {name: 'm', minimumBytesPerPromptToken: 2});

// Each token of an engine's tokeniser covers at least the configured number of
// bytes, so no prompt may have more tokens than the bound reserves for it.
it('covers every prompt whose tokens have at least the minimum size', () => {
  fc.assert(
    fc.property(
      fc.array(fc.array(fc.integer({min: 2, max: 9}), {maxLength: 20}), {
        minLength: 1,
        maxLength: 5,
      }),
      fc.integer({min: 1, max: 500}),
      (prompts, maximum) => {
        const messages = prompts.map(tokens => ({
          role: 'user',
          content: tokens.map(bytes => 'x'.repeat(bytes)).join(''),
        }));
        const used = prompts.flat().length + maximum;
        expect(completionBound(messages, model, maximum)).toBeGreaterThan(used);
      },
    ),
    {seed: 11},
  );
});

it('never charges more than was reserved or a negative number', () => {
  fc.assert(
    fc.property(
      fc.double({min: -10, max: 1e9, noNaN: true}),
      fc.integer({min: 0, max: 1_000_000}),
      (used, bound) => {
        const charged = chargedTokens(used, bound);
        expect(charged).toBeLessThanOrEqual(bound);
        expect(charged).toBeGreaterThanOrEqual(0);
        expect(Number.isInteger(charged)).toBe(true);
      },
    ),
    {seed: 12},
  );
});
