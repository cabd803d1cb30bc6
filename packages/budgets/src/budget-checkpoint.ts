import {create} from '@bufbuild/protobuf';
import {isTokenAmount} from '@wisteriadeal/ledger';
import {
  BudgetCheckpointSchema,
  type BudgetCheckpoint,
  type GrantCeilings,
} from '@wisteriadeal/schema';

import {BudgetFold, type FoldedHolder} from './budget-fold.js';
import type {TokenLimits} from './grant-ceilings.js';

/**
 * Captures the fold's complete state, for readers that start after the platform has
 * dropped the earlier records.
 *
 * @param generation Number of times that the fold has continued after dropped records,
 *     plus 1; 0 if holders use grants without a ceiling.
 * @param ceilings Ceilings of allocated tokens, by organisation.
 */
export function createCheckpoint(
  fold: BudgetFold,
  generation = 0,
  ceilings: TokenLimits = new Map(),
): BudgetCheckpoint {
  return create(BudgetCheckpointSchema, {
    offset: fold.nextOffset,
    generation,
    ceilings: toGrantCeilings(ceilings),
    organisations: [...fold.organisations].map(([organisation, budget]) => ({
      organisation,
      prepaid: budget.prepaid,
      configurationVersion: budget.configurationVersion,
      closedCharge: budget.closedCharge,
    })),
    holders: [...fold.holders.values()].map(holder => ({
      incarnation: holder.incarnation,
      host: holder.host,
      address: holder.address,
      dataCenter: holder.dataCenter,
      region: holder.region,
      lastSequence: holder.lastSequence,
      grants: [...holder.grants].map(([organisation, grant]) => ({
        organisation,
        ...grant,
      })),
    })),
    closedIncarnations: [...fold.closedIncarnations],
  });
}

/** Lists ceilings for a message. */
export function toGrantCeilings(
  ceilings: TokenLimits,
): {readonly organisation: string; readonly tokens: number}[] {
  return [...ceilings].map(([organisation, tokens]) => ({
    organisation,
    tokens,
  }));
}

/**
 * Whether the offset and the amounts of a checkpoint are whole numbers that records can
 * store. A fold that continues at any other offset never reads the log again.
 *
 * @example
 * ```ts
 * hasValidFigures(createCheckpoint(new BudgetFold(7))); // true
 * ```
 */
export function hasValidFigures(checkpoint: BudgetCheckpoint): boolean {
  const {offset, organisations, holders} = checkpoint;
  const amounts = [
    ...organisations.flatMap(({prepaid, closedCharge}) => [
      prepaid,
      closedCharge,
    ]),
    ...holders.flatMap(({grants}) =>
      grants.map(({outstanding}) => outstanding),
    ),
  ];
  return (
    Number.isSafeInteger(offset) &&
    offset >= 0 &&
    amounts.every(isTokenAmount) &&
    hasValidCeilings(checkpoint)
  );
}

/** Whether a generation and ceilings are whole numbers that records can store. */
export function hasValidCeilings({
  generation,
  ceilings,
}: Pick<GrantCeilings, 'generation' | 'ceilings'>): boolean {
  return (
    isTokenAmount(generation) &&
    ceilings.every(({tokens}) => isTokenAmount(tokens))
  );
}

/** Restores a fold that continues at the checkpoint's offset. */
export function foldFromCheckpoint(checkpoint: BudgetCheckpoint): BudgetFold {
  const fold = new BudgetFold(checkpoint.offset);
  for (const budget of checkpoint.organisations) {
    fold.organisations.set(budget.organisation, {
      prepaid: budget.prepaid,
      configurationVersion: budget.configurationVersion,
      closedCharge: budget.closedCharge,
      outstanding: 0,
      held: 0,
      users: 0,
    });
  }
  for (const holder of checkpoint.holders) {
    const folded: FoldedHolder = {
      incarnation: holder.incarnation,
      host: holder.host,
      address: holder.address,
      dataCenter: holder.dataCenter,
      region: holder.region,
      lastSequence: holder.lastSequence,
      grants: new Map(),
    };
    for (const {organisation, outstanding, held} of holder.grants) {
      fold.setGrant(folded, organisation, {outstanding, held});
    }
    fold.addHolder(folded);
  }
  for (const incarnation of checkpoint.closedIncarnations) {
    fold.closedIncarnations.add(incarnation);
  }
  return fold;
}
