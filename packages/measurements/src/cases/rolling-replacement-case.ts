import {ListedState} from '@wisteriadeal/platform';

import {ResultKind} from '../caller-result.js';
import type {EntryHost} from '../entry-host.js';
import {FleetCase, type CaseFields} from '../fleet-case.js';
import type {FleetRun, FleetRunOptions} from '../fleet-run.js';
import {pause} from '../waiting.js';
import {failureLoad, slowEngineFleet} from './failure-load.js';

const CONCURRENCY = 24;
const MAXIMUM_ATTEMPTS = 10;
const REPEAT_SHARE = 0.1;
const KEYED_SHARE = 0.8;
const PAUSE_MILLISECONDS = 20;
const MILLISECONDS_PER_TOKEN = 8;
/** Delay until the load balancer's health checks detect a stopping router. */
const BALANCER_DETECTION_MILLISECONDS = 300;
const WARM_UP_MILLISECONDS = 500;

/**
 * Replaces every entry host under load, one at a time: a new host starts, the old one
 * is listed as leaving, its router drains its streams on SIGTERM, and then its keeper
 * returns its grants.
 */
export class RollingReplacementCase extends FleetCase {
  override readonly name = 'rolling-replacement';
  override readonly description =
    'every entry host replaced in turn by SIGTERM under 24 callers; keeper times scaled to a tenth';

  protected override fleetOptions(seed: number): FleetRunOptions {
    return failureLoad(slowEngineFleet(seed, MILLISECONDS_PER_TOKEN), {
      keyedShare: KEYED_SHARE,
      concurrency: CONCURRENCY,
      maximumAttempts: MAXIMUM_ATTEMPTS,
      repeatShare: REPEAT_SHARE,
      pauseMilliseconds: PAUSE_MILLISECONDS,
    });
  }

  protected override async runScenario(run: FleetRun): Promise<CaseFields> {
    const replaced: boolean[] = [];
    await run.loadWhile(async () => {
      for (const host of [...run.fleet.hosts]) {
        replaced.push(await this.replace(run, host));
      }
    });
    const results = run.load.records.flatMap(record => record.results);
    return {
      replaced: replaced.length,
      notStoppedInOrder: replaced.filter(stopped => !stopped).length,
      cutStreams: results.filter(
        ({kind, requestId}) => kind === ResultKind.Lost && requestId !== '',
      ).length,
    };
  }

  protected override meetsGoals(caseFields: CaseFields): boolean {
    return caseFields.cutStreams === 0 && caseFields.notStoppedInOrder === 0;
  }

  /** @returns True if the old host's processes exited without SIGKILL. */
  private async replace(run: FleetRun, old: EntryHost): Promise<boolean> {
    const {fleet} = run;
    const replacement = await fleet.addHost(old.dataCenter);
    await run.waitUntilReady([replacement]);
    await pause(WARM_UP_MILLISECONDS);
    old.state = ListedState.Leaving;
    await fleet.publishListing();
    const stopping = old.stop();
    await pause(BALANCER_DETECTION_MILLISECONDS);
    fleet.hosts.splice(fleet.hosts.indexOf(old), 1);
    const stopped = await stopping;
    await fleet.publishListing();
    return stopped;
  }
}
