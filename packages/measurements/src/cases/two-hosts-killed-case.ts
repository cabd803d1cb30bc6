import {FleetCase, spanFields, type CaseFields} from '../fleet-case.js';
import {SMALL_FLEET} from '../fleet-plan.js';
import type {FleetRun, FleetRunOptions} from '../fleet-run.js';
import {pause} from '../waiting.js';
import {failureLoad} from './failure-load.js';

const HOSTS_PER_DATA_CENTER = 3;
const BEFORE_MILLISECONDS = 3_000;
const ALONE_MILLISECONDS = 4_000;
const AFTER_MILLISECONDS = 5_000;

/**
 * Two of three hosts of one data centre die at once: some grants lose holder and
 * witness together, and are stranded.
 */
export class TwoHostsKilledCase extends FleetCase {
  override readonly name = 'two-hosts-killed';
  override readonly description =
    'two of three hosts of one data centre killed at once, replaced 4 s later; grants that lost holder and witness stay stranded';

  protected override options(seed: number): FleetRunOptions {
    const dataCenters = SMALL_FLEET.dataCenters.map(plan => ({
      ...plan,
      hosts: HOSTS_PER_DATA_CENTER,
    }));
    return failureLoad({...SMALL_FLEET, dataCenters, seed});
  }

  protected override async act(run: FleetRun): Promise<CaseFields> {
    const {fleet} = run;
    const [first] = fleet.plan.dataCenters;
    const dataCenter = first?.name ?? '';
    let killedAt = 0;
    await run.loadWhile(async () => {
      await pause(BEFORE_MILLISECONDS);
      killedAt = performance.now();
      const victims = fleet.hostsOf(dataCenter).slice(0, 2);
      await Promise.all(victims.map(host => fleet.killHost(host)));
      await pause(ALONE_MILLISECONDS);
      const added = [
        await fleet.addHost(dataCenter),
        await fleet.addHost(dataCenter),
      ];
      await run.waitReady(added);
      await pause(AFTER_MILLISECONDS);
    });
    const {records} = run.load;
    return {
      ...spanFields('before', records, 0, killedAt),
      ...spanFields('after', records, killedAt, Infinity),
    };
  }
}
