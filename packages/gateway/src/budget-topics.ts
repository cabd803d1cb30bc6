import type {Partition} from '@wisteriadeal/platform';

/** Records of grants. A single partition defines one order of all verdicts. */
export const BUDGET_PARTITION: Partition = {
  topic: 'wisteriadeal-budgets',
  partition: 0,
};

/** Checkpoints of the fold, for readers that start after records were dropped. */
export const CHECKPOINT_PARTITION: Partition = {
  topic: 'keyed.wisteriadeal-checkpoints',
  partition: 0,
};

/** Key of the newest checkpoint in `CHECKPOINT_PARTITION`. */
export const CHECKPOINT_KEY = 'budgets-0';

/** Key of the newest ceilings in `CHECKPOINT_PARTITION` that are no part of a checkpoint. */
export const CEILINGS_KEY = 'ceilings-0';

/** Bills of requests that were sent to an endpoint, for people to read. */
export const BILL_PARTITION: Partition = {
  topic: 'wisteriadeal-bills',
  partition: 0,
};
