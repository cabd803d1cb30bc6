import {FleetRun} from '../fleet-run.js';
import {SMALL_FLEET} from '../fleet-plan.js';
import {MeasureCase, type CaseResult} from '../measure-case.js';
import {toCaseResult} from '../outcome-report.js';

const REQUESTS = 600;
const CONCURRENCY = 24;
const MOST_ATTEMPTS = 5;
const REPEAT_SHARE = 0.15;
const KEYED_SHARE = 0.7;

/** The demo: everything works, and one organisation runs out of budget. */
export class DemoCase extends MeasureCase {
  override readonly name = 'demo';
  override readonly description =
    'no fault; 600 requests of 5 organisations, one of which runs out of budget';

  override async run(seed: number): Promise<CaseResult> {
    const run = await FleetRun.start({
      plan: {...SMALL_FLEET, seed},
      keyedShare: KEYED_SHARE,
      load: {
        concurrency: CONCURRENCY,
        mostAttempts: MOST_ATTEMPTS,
        repeatShare: REPEAT_SHARE,
        pauseMilliseconds: 0,
      },
    });
    let passed = false;
    try {
      await run.load.send(run.workload.requests(REQUESTS));
      const result = toCaseResult(await run.finish());
      passed = result.passed;
      return result;
    } finally {
      await run.close(!passed);
    }
  }
}
