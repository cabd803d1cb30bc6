import type {GrantState} from '@wisteriadeal/schema';

/**
 * Returns the holder with the most unbilled tokens in open grants. The result
 * depends only on the log, so all keepers at the same offset agree on it.
 */
export function largestHolder(
  grants: readonly GrantState[],
): string | undefined {
  const tokens = new Map<string, number>();
  for (const grant of grants.filter(candidate => !candidate.closed)) {
    const heldTokens = tokens.get(grant.holder) ?? 0;
    tokens.set(grant.holder, heldTokens + grant.tokens - grant.billedTokens);
  }
  return [...tokens].sort((one, other) => other[1] - one[1])[0]?.[0];
}
