import {FleetCase, spanFields, type CaseFields} from '../fleet-case.js';
import {SMALL_FLEET} from '../fleet-plan.js';
import type {FleetRun, FleetRunOptions} from '../fleet-run.js';
import {pause} from '../waiting.js';
import {failureLoad} from './failure-load.js';

const HOSTS_PER_DATA_CENTER = 3;
const BASELINE_MILLISECONDS = 3_000;
const REPLACEMENT_DELAY_MILLISECONDS = 4_000;
const RECOVERY_MILLISECONDS = 5_000;

/**
 * Kills two of the three hosts of one data centre at the same time. Grants whose holder
 * and witness both ran on them are stranded.
 */
export class TwoHostsKilledCase extends FleetCase {
  override readonly name = 'two-hosts-killed';
  override readonly description =
    'two of three hosts of one data centre killed at the same time and replaced 4 s later; grants that lost holder and witness stay stranded';

  protected override fleetOptions(seed: number): FleetRunOptions {
    const dataCenters = SMALL_FLEET.dataCenters.map(plan => ({
      ...plan,
      hosts: HOSTS_PER_DATA_CENTER,
    }));
    return failureLoad({...SMALL_FLEET, dataCenters, seed});
  }

  protected override async runScenario(run: FleetRun): Promise<CaseFields> {
    const {fleet} = run;
    const [first] = fleet.plan.dataCenters;
    const dataCenter = first?.name ?? '';
    let killedAt = 0;
    await run.loadWhile(async () => {
      await pause(BASELINE_MILLISECONDS);
      killedAt = performance.now();
      const killedHosts = fleet.hostsOf(dataCenter).slice(0, 2);
      await Promise.all(killedHosts.map(host => fleet.killHost(host)));
      await pause(REPLACEMENT_DELAY_MILLISECONDS);
      const added = [
        await fleet.addHost(dataCenter),
        await fleet.addHost(dataCenter),
      ];
      await run.waitUntilReady(added);
      await pause(RECOVERY_MILLISECONDS);
    });
    const {records} = run.load;
    return {
      ...spanFields('before', records, 0, killedAt),
      ...spanFields('after', records, killedAt, Infinity),
    };
  }
}
