import {ListedState} from '@wisteriadeal/platform';

import {FleetCase, type CaseFields} from '../fleet-case.js';
import {SMALL_FLEET} from '../fleet-plan.js';
import type {FleetRun, FleetRunOptions} from '../fleet-run.js';
import type {RunningEndpoint} from '../fleet.js';
import {pause} from '../waiting.js';
import {failureLoad} from './failure-load.js';

const CONCURRENCY = 24;
const MAXIMUM_ATTEMPTS = 5;
const REPEAT_SHARE = 0.1;
const KEYED_SHARE = 0.7;
const PAUSE_MILLISECONDS = 5;
const BASELINE_MILLISECONDS = 1_500;
/**
 * The requirements allow "a few seconds" until no new work is placed at the endpoint.
 */
const GRACE_MILLISECONDS = 3_000;
const OBSERVATION_MILLISECONDS = 3_000;
const POLL_INTERVAL_MILLISECONDS = 20;

interface AttemptList {
  readonly attempts: readonly {readonly attemptId: string}[];
}

async function countAttempts(endpoint: RunningEndpoint): Promise<number> {
  const list = await endpoint.control.read('/control/attempts');
  return (list as AttemptList).attempts.length;
}

/**
 * Lists one engine as leaving while the fleet is under load. Attempts in progress at
 * the engine finish; from three seconds after the change of the list, it must receive
 * no new attempts.
 */
export class LeavingEndpointCase extends FleetCase {
  override readonly name = 'leaving-endpoint';
  override readonly description =
    'an engine is listed as leaving under 24 callers; list lag 0.2 s';

  protected override fleetOptions(seed: number): FleetRunOptions {
    return failureLoad(
      {...SMALL_FLEET, seed},
      {
        keyedShare: KEYED_SHARE,
        concurrency: CONCURRENCY,
        maximumAttempts: MAXIMUM_ATTEMPTS,
        repeatShare: REPEAT_SHARE,
        pauseMilliseconds: PAUSE_MILLISECONDS,
      },
    );
  }

  protected override async runScenario(run: FleetRun): Promise<CaseFields> {
    let fields: CaseFields = {};
    await run.loadWhile(async () => {
      await pause(BASELINE_MILLISECONDS);
      fields = await this.observeLeaving(run);
    });
    return fields;
  }

  protected override meetsGoals(own: CaseFields): boolean {
    return own.newWorkAfterGrace === 0 && own.attemptsBeforeLeaving !== 0;
  }

  private async observeLeaving(run: FleetRun): Promise<CaseFields> {
    const {engines} = run.fleet;
    const engine = engines[run.random.below(engines.length)];
    if (engine === undefined) {
      throw new Error('the fleet has no engine');
    }
    const attemptsBeforeLeaving = await countAttempts(engine);
    engine.state = ListedState.Leaving;
    await run.fleet.publishListing();
    const leftAt = performance.now();
    let previousCount = attemptsBeforeLeaving;
    let lastNewMilliseconds = 0;
    let newWorkAfterGrace = 0;
    for (
      let elapsed = 0;
      elapsed < GRACE_MILLISECONDS + OBSERVATION_MILLISECONDS;
    ) {
      await pause(POLL_INTERVAL_MILLISECONDS);
      elapsed = performance.now() - leftAt;
      const count = await countAttempts(engine);
      if (count > previousCount) {
        lastNewMilliseconds = Math.round(elapsed);
        newWorkAfterGrace +=
          elapsed > GRACE_MILLISECONDS ? count - previousCount : 0;
      }
      previousCount = count;
    }
    return {attemptsBeforeLeaving, lastNewMilliseconds, newWorkAfterGrace};
  }
}
