import {FleetCase, spanFields, type CaseFields} from '../fleet-case.js';
import {PLATFORM_PLACE} from '../fleet-network.js';
import {SMALL_FLEET} from '../fleet-plan.js';
import type {FleetRun, FleetRunOptions} from '../fleet-run.js';
import {RelayState} from '../relay.js';
import {pause} from '../waiting.js';
import {ORGANISATIONS} from '../workload.js';
import {failureLoad} from './failure-load.js';

const CUT_OFF = 'kigali-2';
const OTHER = 'kigali-1';
const BEFORE_MILLISECONDS = 3_000;
const CUT_MILLISECONDS = 15_000;
const AFTER_MILLISECONDS = 5_000;
/** Runs short during the cut, and is topped up then. */
const SHORT_ORGANISATION = 'small-venue';
const SHORT_BUDGET_TOKENS = 4_000;
const TOP_UP_TOKENS = 4_000;

/**
 * One data centre loses the other one and the platform. The cut is silent: open
 * connections hang and new ones are not answered.
 */
export class PartitionCase extends FleetCase {
  override readonly name = 'partition';
  override readonly description =
    'a data centre cut off from the other and from the platform for 15 s (an hour, scaled by 240; fencing after 1 s), with a top-up meanwhile';

  protected override options(seed: number): FleetRunOptions {
    const organisations = ORGANISATIONS.map(plan =>
      plan.name === SHORT_ORGANISATION
        ? {...plan, budgetTokens: SHORT_BUDGET_TOKENS}
        : plan,
    );
    return {...failureLoad({...SMALL_FLEET, seed}), organisations};
  }

  protected override async act(run: FleetRun): Promise<CaseFields> {
    let cutAt = 0;
    let healedAt = 0;
    await run.loadWhile(async () => {
      await pause(BEFORE_MILLISECONDS);
      cutAt = performance.now();
      await this.setCut(run, RelayState.Silent);
      await pause(CUT_MILLISECONDS / 2);
      await run.topUp(SHORT_ORGANISATION, TOP_UP_TOKENS);
      await pause(CUT_MILLISECONDS / 2);
      await this.setCut(run, RelayState.Open);
      healedAt = performance.now();
      await pause(AFTER_MILLISECONDS);
    });
    const {records} = run.load;
    return {
      timeScale: 240,
      cutSeconds: CUT_MILLISECONDS / 1_000,
      ...spanFields('before', records, 0, cutAt),
      ...spanFields('cut', records, cutAt, healedAt),
      ...spanFields('after', records, healedAt, Infinity),
    };
  }

  private async setCut(run: FleetRun, state: RelayState): Promise<void> {
    await run.fleet.setNetwork(CUT_OFF, OTHER, state);
    await run.fleet.setNetwork(CUT_OFF, PLATFORM_PLACE, state);
  }
}
