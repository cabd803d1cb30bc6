import {create} from '@bufbuild/protobuf';
import {
  BudgetCheckpointSchema,
  type BudgetCheckpoint,
} from '@wisteriadeal/schema';

import {BudgetFold, type FoldedHolder} from './budget-fold.js';

/**
 * The fold's whole state, for a reader that comes when the platform has dropped
 * the records that led to it.
 */
export function checkpointOf(fold: BudgetFold): BudgetCheckpoint {
  return create(BudgetCheckpointSchema, {
    offset: fold.nextOffset,
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
      lastSequence: holder.lastSequence,
      grants: [...holder.grants].map(([organisation, grant]) => ({
        organisation,
        ...grant,
      })),
    })),
    closedIncarnations: [...fold.closedIncarnations],
  });
}

/** A fold that goes on where the checkpoint was taken. */
export function foldFrom(checkpoint: BudgetCheckpoint): BudgetFold {
  const fold = new BudgetFold(checkpoint.offset);
  for (const budget of checkpoint.organisations) {
    fold.organisations.set(budget.organisation, {
      prepaid: budget.prepaid,
      configurationVersion: budget.configurationVersion,
      closedCharge: budget.closedCharge,
      outstanding: 0,
      held: 0,
    });
  }
  for (const holder of checkpoint.holders) {
    const folded: FoldedHolder = {
      incarnation: holder.incarnation,
      host: holder.host,
      address: holder.address,
      lastSequence: holder.lastSequence,
      grants: new Map(),
    };
    for (const {organisation, outstanding, held} of holder.grants) {
      fold.setGrant(folded, organisation, {outstanding, held});
    }
    fold.holders.set(holder.incarnation, folded);
  }
  for (const incarnation of checkpoint.closedIncarnations) {
    fold.closedIncarnations.add(incarnation);
  }
  return fold;
}
