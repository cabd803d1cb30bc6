import {ListedState} from '@wisteriadeal/platform';

import {ResultKind} from '../caller-result.js';
import type {EntryHost} from '../entry-host.js';
import {FleetCase, type CaseFields} from '../fleet-case.js';
import type {FleetRun, FleetRunOptions} from '../fleet-run.js';
import {pause} from '../waiting.js';
import {failureLoad, slowFleet} from './failure-load.js';

const CONCURRENCY = 24;
const MOST_ATTEMPTS = 10;
const REPEAT_SHARE = 0.1;
const KEYED_SHARE = 0.8;
const PAUSE_MILLISECONDS = 20;
const MILLISECONDS_PER_TOKEN = 8;
/** A balancer's health checks take a while to notice. */
const BALANCER_LAG_MILLISECONDS = 300;
const SETTLING_IN_MILLISECONDS = 500;

/**
 * Every entry host is replaced under load, one after the other: a new one
 * starts, the old one is listed as leaving, its router is told to stop and ends
 * its streams, then its keeper returns its grants.
 */
export class RollingReplacementCase extends FleetCase {
  override readonly name = 'rolling-replacement';
  override readonly description =
    'every entry host replaced in turn by SIGTERM under 24 callers; keeper times scaled to a tenth';

  protected override options(seed: number): FleetRunOptions {
    return failureLoad(slowFleet(seed, MILLISECONDS_PER_TOKEN), {
      keyedShare: KEYED_SHARE,
      concurrency: CONCURRENCY,
      mostAttempts: MOST_ATTEMPTS,
      repeatShare: REPEAT_SHARE,
      pauseMilliseconds: PAUSE_MILLISECONDS,
    });
  }

  protected override async act(run: FleetRun): Promise<CaseFields> {
    const replaced: boolean[] = [];
    await run.loadWhile(async () => {
      for (const host of [...run.fleet.hosts]) {
        replaced.push(await this.replace(run, host));
      }
    });
    const results = run.load.records.flatMap(record => record.results);
    return {
      replaced: replaced.length,
      notStoppedInOrder: replaced.filter(inOrder => !inOrder).length,
      cutStreams: results.filter(
        ({kind, requestId}) => kind === ResultKind.Lost && requestId !== '',
      ).length,
    };
  }

  protected override holds(own: CaseFields): boolean {
    return own.cutStreams === 0 && own.notStoppedInOrder === 0;
  }

  /** Returns true where the old host's processes stopped by themselves. */
  private async replace(run: FleetRun, old: EntryHost): Promise<boolean> {
    const {fleet} = run;
    const fresh = await fleet.addHost(old.dataCenter);
    await run.waitReady([fresh]);
    await pause(SETTLING_IN_MILLISECONDS);
    old.state = ListedState.Leaving;
    await fleet.publishListing();
    const stopping = old.stop();
    await pause(BALANCER_LAG_MILLISECONDS);
    fleet.hosts.splice(fleet.hosts.indexOf(old), 1);
    const stopped = await stopping;
    await fleet.publishListing();
    return stopped;
  }
}
