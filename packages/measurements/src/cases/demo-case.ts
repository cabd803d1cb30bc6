import {FleetCase, type CaseFields} from '../fleet-case.js';
import {SMALL_FLEET} from '../fleet-plan.js';
import type {FleetRun, FleetRunOptions} from '../fleet-run.js';
import {failureLoad} from './failure-load.js';

const REQUESTS = 600;
const CONCURRENCY = 24;
const MAXIMUM_ATTEMPTS = 5;
const REPEAT_SHARE = 0.15;
const KEYED_SHARE = 0.7;

/** The demo: no faults are injected, and one organisation exhausts its budget. */
export class DemoCase extends FleetCase {
  override readonly name = 'demo';
  override readonly description =
    'no faults; 600 requests of 5 organisations, one of which exhausts its budget';

  protected override fleetOptions(seed: number): FleetRunOptions {
    return failureLoad(
      {...SMALL_FLEET, seed},
      {
        keyedShare: KEYED_SHARE,
        concurrency: CONCURRENCY,
        maximumAttempts: MAXIMUM_ATTEMPTS,
        repeatShare: REPEAT_SHARE,
        pauseMilliseconds: 0,
      },
    );
  }

  protected override async runScenario(run: FleetRun): Promise<CaseFields> {
    await run.load.send(run.workload.requests(REQUESTS));
    return {};
  }
}
