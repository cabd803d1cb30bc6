import {ListedState} from '@wisteriadeal/platform';

import {FleetCase, type CaseFields} from '../fleet-case.js';
import {SMALL_FLEET} from '../fleet-plan.js';
import type {FleetRun, FleetRunOptions} from '../fleet-run.js';
import type {RunningEndpoint} from '../fleet.js';
import {pause} from '../waiting.js';
import {failureLoad} from './failure-load.js';

const CONCURRENCY = 24;
const MOST_ATTEMPTS = 5;
const REPEAT_SHARE = 0.1;
const KEYED_SHARE = 0.7;
const PAUSE_MILLISECONDS = 5;
const LEAVES_AFTER_MILLISECONDS = 1_500;
/** The brief's "a few seconds". */
const GRACE_MILLISECONDS = 3_000;
const WATCHED_MILLISECONDS = 3_000;
const LOOK_MILLISECONDS = 20;

interface AttemptList {
  readonly attempts: readonly {readonly attemptId: string}[];
}

async function attemptsAt(endpoint: RunningEndpoint): Promise<number> {
  const list = await endpoint.control.read('/control/attempts');
  return (list as AttemptList).attempts.length;
}

/**
 * The platform's list says under load that one engine leaves. What runs there
 * ends; later than three seconds after the list says so, nothing new comes.
 */
export class LeavingEndpointCase extends FleetCase {
  override readonly name = 'leaving-endpoint';
  override readonly description =
    'an engine is listed as leaving under 24 callers; list lag 0.2 s';

  protected override options(seed: number): FleetRunOptions {
    return failureLoad(
      {...SMALL_FLEET, seed},
      {
        keyedShare: KEYED_SHARE,
        concurrency: CONCURRENCY,
        mostAttempts: MOST_ATTEMPTS,
        repeatShare: REPEAT_SHARE,
        pauseMilliseconds: PAUSE_MILLISECONDS,
      },
    );
  }

  protected override async act(run: FleetRun): Promise<CaseFields> {
    let seen: CaseFields = {};
    await run.loadWhile(async () => {
      await pause(LEAVES_AFTER_MILLISECONDS);
      seen = await this.watchLeaving(run);
    });
    return seen;
  }

  protected override holds(own: CaseFields): boolean {
    return own.newWorkAfterGrace === 0 && own.attemptsBeforeLeaving !== 0;
  }

  private async watchLeaving(run: FleetRun): Promise<CaseFields> {
    const {engines} = run.fleet;
    const engine = engines[run.random.below(engines.length)];
    if (engine === undefined) {
      throw new Error('the fleet has no engine');
    }
    const attemptsBeforeLeaving = await attemptsAt(engine);
    engine.state = ListedState.Leaving;
    await run.fleet.publishListing();
    const leftAt = performance.now();
    let known = attemptsBeforeLeaving;
    let lastNewMilliseconds = 0;
    let newWorkAfterGrace = 0;
    for (
      let elapsed = 0;
      elapsed < GRACE_MILLISECONDS + WATCHED_MILLISECONDS;
    ) {
      await pause(LOOK_MILLISECONDS);
      elapsed = performance.now() - leftAt;
      const now = await attemptsAt(engine);
      if (now > known) {
        lastNewMilliseconds = Math.round(elapsed);
        newWorkAfterGrace += elapsed > GRACE_MILLISECONDS ? now - known : 0;
      }
      known = now;
    }
    return {attemptsBeforeLeaving, lastNewMilliseconds, newWorkAfterGrace};
  }
}
