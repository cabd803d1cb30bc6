import type {GrantState} from '@wisteriadeal/schema';

/** The holder that has most left in open grants; every reader names the same. */
export function holderOfMost(
  grants: readonly GrantState[],
): string | undefined {
  const tokens = new Map<string, number>();
  for (const grant of grants.filter(candidate => !candidate.closed)) {
    const held = tokens.get(grant.holder) ?? 0;
    tokens.set(grant.holder, held + grant.tokens - grant.billedTokens);
  }
  return [...tokens].sort((one, other) => other[1] - one[1])[0]?.[0];
}
