import {FleetCase, spanFields, type CaseFields} from '../fleet-case.js';
import {SMALL_FLEET} from '../fleet-plan.js';
import type {FleetRun, FleetRunOptions} from '../fleet-run.js';
import {pause} from '../waiting.js';
import {failureLoad} from './failure-load.js';

const BEFORE_MILLISECONDS = 3_000;
/** Five times the delay after which a witness fences its holder. */
const PAUSE_MILLISECONDS = 5_000;
const AFTER_MILLISECONDS = 5_000;

/**
 * A keeper stands still for longer than its witness waits, and then goes on as
 * if nothing had happened: what it held was fenced and reclaimed meanwhile.
 */
export class PauseHolderCase extends FleetCase {
  override readonly name = 'pause-holder';
  override readonly description =
    'a keeper of each data centre in turn stopped (SIGSTOP) for 5 s, five times the fence delay, then continued';

  protected override options(seed: number): FleetRunOptions {
    return failureLoad({...SMALL_FLEET, seed});
  }

  protected override async act(run: FleetRun): Promise<CaseFields> {
    const {fleet} = run;
    let pausedAt = 0;
    await run.loadWhile(async () => {
      await pause(BEFORE_MILLISECONDS);
      pausedAt = performance.now();
      for (const {name} of fleet.plan.dataCenters) {
        const [victim] = fleet.hostsOf(name);
        victim?.keeper.pause();
        await pause(PAUSE_MILLISECONDS);
        victim?.keeper.resume();
        await pause(AFTER_MILLISECONDS);
      }
    });
    const {records} = run.load;
    return {
      ...spanFields('before', records, 0, pausedAt),
      ...spanFields('after', records, pausedAt, Infinity),
    };
  }
}
