import {FleetCase, spanFields, type CaseFields} from '../fleet-case.js';
import {SMALL_FLEET} from '../fleet-plan.js';
import type {FleetRun, FleetRunOptions} from '../fleet-run.js';
import {ResultKind} from '../caller-result.js';
import {pause} from '../waiting.js';
import {failureLoad} from './failure-load.js';

const BEFORE_MILLISECONDS = 3_000;
const BETWEEN_MILLISECONDS = 4_000;

/** Routers die with streams open; the callers retry with the same key. */
export class KillRouterCase extends FleetCase {
  override readonly name = 'kill-router-mid-stream';
  override readonly description =
    'a router of each data centre killed with streams open; callers retry with the same key at any host';

  protected override options(seed: number): FleetRunOptions {
    return failureLoad({...SMALL_FLEET, seed});
  }

  protected override async act(run: FleetRun): Promise<CaseFields> {
    const {fleet} = run;
    let killedAt = 0;
    await run.loadWhile(async () => {
      await pause(BEFORE_MILLISECONDS);
      killedAt = performance.now();
      for (const {name} of fleet.plan.dataCenters) {
        const [victim] = fleet.hostsOf(name);
        if (victim !== undefined) {
          await victim.router.kill();
          await pause(BETWEEN_MILLISECONDS);
          await fleet.killHost(victim);
        }
        const replacement = await fleet.addHost(name);
        await run.waitReady([replacement]);
      }
      await pause(BETWEEN_MILLISECONDS);
    });
    const {records} = run.load;
    const broken = records.filter(({results}) =>
      results.some(({kind}) => kind === ResultKind.Lost),
    );
    return {
      brokenOff: broken.length,
      brokenOffAnswered: broken.filter(
        ({final}) => final?.kind === ResultKind.Answered,
      ).length,
      ...spanFields('before', records, 0, killedAt),
      ...spanFields('after', records, killedAt, Infinity),
    };
  }
}
