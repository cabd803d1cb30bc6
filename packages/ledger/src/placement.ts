import {createHash} from 'node:crypto';

/**
 * Names the log stream of an organisation. Everything of one organisation
 * stands in one stream, so that its order is the order of one stream's offsets.
 *
 * @param ledgerStreams Number of streams; the same for the whole fleet, for
 *     ever, since another number would move organisations between streams.
 * @example
 * ```ts
 * ledgerStreamOf('ikaze-bar-school', 8); // 'ledger-3', say
 * ```
 */
export function ledgerStreamOf(
  organisation: string,
  ledgerStreams: number,
): string {
  const hash = createHash('sha256').update(organisation).digest();
  return `ledger-${hash.readUInt32BE(0) % ledgerStreams}`;
}

/**
 * Orders keepers for an organisation by rendezvous hashing, best first. When a
 * keeper joins or leaves, only the organisations that it ranked first move.
 *
 * @param incarnations Live, reachable keepers.
 * @example
 * ```ts
 * const [holder, witness] = rankKeepers('org', incarnations);
 * ```
 */
export function rankKeepers(
  organisation: string,
  incarnations: readonly string[],
): readonly string[] {
  return incarnations
    .map(incarnation => ({
      incarnation,
      score: createHash('sha256')
        .update(`${incarnation}\0${organisation}`)
        .digest('hex'),
    }))
    .sort((left, right) => (left.score < right.score ? 1 : -1))
    .map(({incarnation}) => incarnation);
}

/**
 * The holder of an organisation in a data centre. The choice serves efficiency
 * only: two keepers that both believe that they are chosen hold two grants.
 *
 * @param incarnations Live, reachable keepers of the data centre.
 * @returns undefined where there is none.
 * @example
 * ```ts
 * chooseHolder('org', ['a/keeper/1', 'b/keeper/2']);
 * ```
 */
export function chooseHolder(
  organisation: string,
  incarnations: readonly string[],
): string | undefined {
  return rankKeepers(organisation, incarnations)[0];
}
