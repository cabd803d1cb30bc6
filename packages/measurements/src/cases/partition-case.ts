import {FleetCase, spanFields, type CaseFields} from '../fleet-case.js';
import {PLATFORM_LOCATION} from '../fleet-network.js';
import {SMALL_FLEET} from '../fleet-plan.js';
import type {FleetRun, FleetRunOptions} from '../fleet-run.js';
import {RelayState} from '../relay.js';
import {pause} from '../waiting.js';
import {ORGANISATIONS} from '../workload.js';
import {failureLoad} from './failure-load.js';

const ISOLATED_DATA_CENTER = 'kigali-2';
const OTHER_DATA_CENTER = 'kigali-1';
const BASELINE_MILLISECONDS = 3_000;
const PARTITION_MILLISECONDS = 15_000;
const RECOVERY_MILLISECONDS = 5_000;
/**
 * Exhausts its budget during the partition, and receives a top-up half-way through it.
 */
const LOW_BUDGET_ORGANISATION = 'small-venue';
const LOW_BUDGET_TOKENS = 4_000;
const TOP_UP_TOKENS = 4_000;

/**
 * Separates one data centre from the other one and from the platform. The partition
 * drops traffic silently: open connections hang, and new ones get no answer.
 */
export class PartitionCase extends FleetCase {
  override readonly name = 'partition';
  override readonly description =
    'a data centre partitioned from the other and from the platform for 15 s (an hour, scaled by 240; fencing after 1 s), with a top-up during the partition';

  protected override fleetOptions(seed: number): FleetRunOptions {
    const organisations = ORGANISATIONS.map(plan =>
      plan.name === LOW_BUDGET_ORGANISATION
        ? {...plan, budgetTokens: LOW_BUDGET_TOKENS}
        : plan,
    );
    return {...failureLoad({...SMALL_FLEET, seed}), organisations};
  }

  protected override async runScenario(run: FleetRun): Promise<CaseFields> {
    let partitionedAt = 0;
    let healedAt = 0;
    await run.loadWhile(async () => {
      await pause(BASELINE_MILLISECONDS);
      partitionedAt = performance.now();
      await this.setPartition(run, RelayState.Silent);
      await pause(PARTITION_MILLISECONDS / 2);
      await run.topUp(LOW_BUDGET_ORGANISATION, TOP_UP_TOKENS);
      await pause(PARTITION_MILLISECONDS / 2);
      await this.setPartition(run, RelayState.Open);
      healedAt = performance.now();
      await pause(RECOVERY_MILLISECONDS);
    });
    const {records} = run.load;
    return {
      timeScale: 240,
      cutSeconds: PARTITION_MILLISECONDS / 1_000,
      ...spanFields('before', records, 0, partitionedAt),
      ...spanFields('cut', records, partitionedAt, healedAt),
      ...spanFields('after', records, healedAt, Infinity),
    };
  }

  private async setPartition(run: FleetRun, state: RelayState): Promise<void> {
    await run.fleet.setNetwork(ISOLATED_DATA_CENTER, OTHER_DATA_CENTER, state);
    await run.fleet.setNetwork(ISOLATED_DATA_CENTER, PLATFORM_LOCATION, state);
  }
}
