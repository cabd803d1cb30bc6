import type {GrantPolicy} from '@wisteriadeal/ledger';
import type {Clock, RandomSource} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';
import type {BudgetPreference} from '@wisteriadeal/schema';

import type {BillObserver} from './bill-observer.js';
import type {BookReplicator} from './book-replicator.js';
import type {LedgerAppender} from './ledger-appender.js';
import type {LedgerReplicas} from './ledger-replicas.js';
import type {MembershipTable} from './membership-table.js';
import type {PlatformHealth} from './platform-health.js';
import type {WitnessLinks} from './witness-links.js';

/** Dependencies of the classes that manage this keeper's grants. */
export interface GrantDependencies {
  readonly membership: MembershipTable;
  readonly replicas: LedgerReplicas;
  readonly appender: LedgerAppender;
  readonly replicator: BookReplicator;
  readonly links: WitnessLinks;
  readonly health: PlatformHealth;
  readonly bills: BillObserver;
  readonly policy: GrantPolicy;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly eventLog: EventLog;
  readonly preferenceOf: (organisation: string) => BudgetPreference;
}
