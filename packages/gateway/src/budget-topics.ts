import type {Partition} from '@wisteriadeal/platform';

/** How grants move. One partition: its order is the order of all verdicts. */
export const BUDGET_PARTITION: Partition = {
  topic: 'wisteriadeal-budgets',
  partition: 0,
};

/** States of the fold, for readers that come late. */
export const CHECKPOINT_PARTITION: Partition = {
  topic: 'keyed.wisteriadeal-checkpoints',
  partition: 0,
};

/** Key of the newest checkpoint. */
export const CHECKPOINT_KEY = 'budgets-0';

/** One line for each request that was sent to an endpoint; for people. */
export const BILL_PARTITION: Partition = {
  topic: 'wisteriadeal-bills',
  partition: 0,
};
