import {describe, expect, it} from 'vitest';

import {StatementChange, StatedNumber} from '../endpoint-statements/index.js';

describe('StatedNumber', () => {
  it('ends with an answer to a request that was sent after it was named', () => {
    // Guards against an answer without a limit that was begun before it and comes later.
    const limit = new StatedNumber();
    expect(limit.answered(2, 100, 200)).toBe(StatementChange.Named);
    expect(limit.answered(undefined, 150, 250)).toBe(StatementChange.None);
    expect(limit.value).toBe(2);
    expect(limit.answered(undefined, 210, 260)).toBe(StatementChange.Ended);
    expect(limit.value).toBe(undefined);
  });

  it('changes with the latest answer that names one', () => {
    const limit = new StatedNumber();
    limit.answered(2, 100, 200);
    expect(limit.answered(2, 200, 300)).toBe(StatementChange.None);
    expect(limit.answered(0, 300, 400)).toBe(StatementChange.Changed);
    expect(limit.value).toBe(0);
    expect(limit.ageMilliseconds(450)).toBe(50);
  });

  it('is none before one is named', () => {
    const limit = new StatedNumber();
    expect(limit.answered(undefined, 100, 200)).toBe(StatementChange.None);
    expect(limit.value).toBe(undefined);
  });
});
