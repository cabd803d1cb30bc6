import {FleetCase, spanFields, type CaseFields} from '../fleet-case.js';
import {SMALL_FLEET} from '../fleet-plan.js';
import type {FleetRun, FleetRunOptions} from '../fleet-run.js';
import {pause} from '../waiting.js';
import {failureLoad} from './failure-load.js';

const BASELINE_MILLISECONDS = 3_000;
/** Five times the delay after which a witness fences its holder's grants. */
const PAUSE_MILLISECONDS = 5_000;
const RECOVERY_MILLISECONDS = 5_000;

/**
 * Suspends a keeper for longer than its witness's fence delay and then resumes it.
 * Its grants were fenced and reclaimed during the pause, which the keeper doesn't
 * know when it resumes.
 */
export class PauseHolderCase extends FleetCase {
  override readonly name = 'pause-holder';
  override readonly description =
    'a keeper of each data centre in turn suspended (SIGSTOP) for 5 s, five times the fence delay, then resumed';

  protected override fleetOptions(seed: number): FleetRunOptions {
    return failureLoad({...SMALL_FLEET, seed});
  }

  protected override async runScenario(run: FleetRun): Promise<CaseFields> {
    const {fleet} = run;
    let pausedAt = 0;
    await run.loadWhile(async () => {
      await pause(BASELINE_MILLISECONDS);
      pausedAt = performance.now();
      for (const {name} of fleet.plan.dataCenters) {
        const [pausedHost] = fleet.hostsOf(name);
        pausedHost?.keeper.pause();
        await pause(PAUSE_MILLISECONDS);
        pausedHost?.keeper.resume();
        await pause(RECOVERY_MILLISECONDS);
      }
    });
    const {records} = run.load;
    return {
      ...spanFields('before', records, 0, pausedAt),
      ...spanFields('after', records, pausedAt, Infinity),
    };
  }
}
