import {FleetCase, spanFields, type CaseFields} from '../fleet-case.js';
import {SMALL_FLEET} from '../fleet-plan.js';
import type {FleetRun, FleetRunOptions} from '../fleet-run.js';
import {ResultKind} from '../caller-result.js';
import {pause} from '../waiting.js';
import {failureLoad} from './failure-load.js';

const BASELINE_MILLISECONDS = 3_000;
const RECOVERY_MILLISECONDS = 4_000;

/**
 * Kills routers that have open streams; the callers retry with the same idempotency
 * key.
 */
export class KillRouterCase extends FleetCase {
  override readonly name = 'kill-router-mid-stream';
  override readonly description =
    'a router in each data centre killed with streams open; callers retry with the same key at any host';

  protected override fleetOptions(seed: number): FleetRunOptions {
    return failureLoad({...SMALL_FLEET, seed});
  }

  protected override async runScenario(run: FleetRun): Promise<CaseFields> {
    const {fleet} = run;
    let killedAt = 0;
    await run.loadWhile(async () => {
      await pause(BASELINE_MILLISECONDS);
      killedAt = performance.now();
      for (const {name} of fleet.plan.dataCenters) {
        const [killedHost] = fleet.hostsOf(name);
        if (killedHost !== undefined) {
          await killedHost.router.kill();
          await pause(RECOVERY_MILLISECONDS);
          await fleet.killHost(killedHost);
        }
        const replacement = await fleet.addHost(name);
        await run.waitUntilReady([replacement]);
      }
      await pause(RECOVERY_MILLISECONDS);
    });
    const {records} = run.load;
    const interrupted = records.filter(({results}) =>
      results.some(({kind}) => kind === ResultKind.Lost),
    );
    return {
      brokenOff: interrupted.length,
      brokenOffAnswered: interrupted.filter(
        ({final}) => final?.kind === ResultKind.Answered,
      ).length,
      ...spanFields('before', records, 0, killedAt),
      ...spanFields('after', records, killedAt, Infinity),
    };
  }
}
