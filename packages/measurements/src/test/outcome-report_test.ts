import {create} from '@bufbuild/protobuf';
import {GrantStateSchema} from '@wisteriadeal/schema';
import {describe, expect, it} from 'vitest';

import {tokensHeldBy} from '../outcome-report.js';

function grantOf(holder: string, tokens: number, billedTokens: number) {
  return create(GrantStateSchema, {holder, tokens, billedTokens});
}

describe('tokensHeldBy', () => {
  it('counts what is not billed, of these hosts alone', () => {
    // Guards against tokens of a host that stopped in good order which go unseen.
    const grants = [
      grantOf('kigali-1-host-1/keeper/a', 100, 40),
      grantOf('kigali-1-host-10/keeper/b', 1_000, 0),
      grantOf('kigali-2-host-0/keeper/c', 10_000, 0),
    ];
    expect(tokensHeldBy(grants, ['kigali-1-host-1'])).toBe(60);
    expect(tokensHeldBy(grants, [])).toBe(0);
  });
});
