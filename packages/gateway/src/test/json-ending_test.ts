import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {endsInsideJson, isJsonType} from '../json-ending.js';

describe('a JSON text', () => {
  it('that is whole does not end inside its value', () => {
    fc.assert(
      fc.property(fc.json(), text => {
        expect(endsInsideJson(text)).toBe(false);
      }),
      {seed: 45},
    );
  });

  it('that is cut ends inside its object or array', () => {
    // Guards against half an answer without a length that passes for the whole.
    const value = fc.oneof(
      fc.array(fc.jsonValue()),
      fc.dictionary(fc.string(), fc.jsonValue()),
    );
    fc.assert(
      fc.property(value, fc.nat(), (whole, cut) => {
        const text = JSON.stringify(whole);
        expect(endsInsideJson(text.slice(0, cut % text.length))).toBe(true);
      }),
      {seed: 45},
    );
  });

  it.each([
    ['application/json', true],
    ['Application/JSON; charset=utf-8', true],
    ['application/problem+json', true],
    ['text/plain', false],
    ['application/jsonl', false],
    ['', false],
  ])('is recognised by its content type (%j)', (type, expected) => {
    expect(isJsonType(type)).toBe(expected);
  });
});
