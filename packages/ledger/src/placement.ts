import {createHash} from 'node:crypto';

/**
 * Returns the name of the log stream of an organisation. All records of an
 * organisation are in one stream, so they are totally ordered by its offsets.
 *
 * @param ledgerStreams Number of streams. It must be the same in the whole
 *     fleet and never change, since another number would move organisations to
 *     other streams.
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
 * Ranks keepers for an organisation by rendezvous hashing, best first. When a
 * keeper joins or leaves, only the organisations that rank it first are moved.
 *
 * @param incarnations Incarnations of live, reachable keepers.
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
 * Returns the holder of an organisation in a data centre. Correctness does not
 * depend on a unique choice: if two keepers with different membership views
 * both choose themselves, each has its own grant.
 *
 * @param incarnations Incarnations of live, reachable keepers of the data
 *     centre.
 * @returns undefined if there is no keeper.
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
