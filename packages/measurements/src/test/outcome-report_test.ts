import {create} from '@bufbuild/protobuf';
import {GrantStateSchema} from '@wisteriadeal/schema';
import {describe, expect, it} from 'vitest';

import {unbilledTokensOfHosts} from '../outcome-report.js';

function grantOf(holder: string, tokens: number, billedTokens: number) {
  return create(GrantStateSchema, {holder, tokens, billedTokens});
}

describe('unbilledTokensOfHosts', () => {
  it('sums the unbilled tokens of the given hosts only', () => {
    // Guards against missing the tokens that a host keeps in grants after a graceful
    // shutdown.
    const grants = [
      grantOf('kigali-1-host-1/keeper/a', 100, 40),
      grantOf('kigali-1-host-10/keeper/b', 1_000, 0),
      grantOf('kigali-2-host-0/keeper/c', 10_000, 0),
    ];
    expect(unbilledTokensOfHosts(grants, ['kigali-1-host-1'])).toBe(60);
    expect(unbilledTokensOfHosts(grants, [])).toBe(0);
  });
});
