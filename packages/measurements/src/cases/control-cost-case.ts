import {SMALL_FLEET} from '../fleet-plan.js';
import {FleetRun} from '../fleet-run.js';
import {
  MeasureCase,
  type CaseResult,
  type ResultValue,
} from '../measure-case.js';
import type {ManagedProcess} from '../managed-process.js';
import {readProcessUsage} from '../processor-time.js';
import {pause} from '../waiting.js';
import {failureLoad} from './failure-load.js';

/** Number of entry hosts in each of the two data centres, for each measured fleet. */
const HOSTS_PER_DATA_CENTER = [2, 4, 8];
const SETTLE_MILLISECONDS = 4_000;
const MEASURED_MILLISECONDS = 10_000;
/** The production heartbeat; the failure cases use a shorter one. */
const HEARTBEAT_MILLISECONDS = 1_000;
const HEARTBEAT_LIMIT_MILLISECONDS = 5_000;
const CORE_SHARE_DECIMALS = 4;

/**
 * Measures the control overhead of an idle daemon at three fleet sizes: share of a
 * core, resident memory, and bytes read and written per second. The requirements allow
 * 1.8 % of a core, 256 MB and 4 KB per second.
 */
export class ControlCostCase extends MeasureCase {
  override readonly name = 'control-cost';
  override readonly description =
    'idle fleets of 4, 8 and 16 entry hosts, heartbeat 1 s: share of a core, resident memory and bytes per second of a keeper and a router';

  override async run(seed: number): Promise<CaseResult> {
    const sizes: ResultValue[] = [];
    for (const hosts of HOSTS_PER_DATA_CENTER) {
      sizes.push(await this.measure(seed, hosts));
    }
    return {fields: {sizes}, passed: true};
  }

  private async measure(seed: number, hosts: number): Promise<ResultValue> {
    const keeper = {
      ...SMALL_FLEET.keeper,
      heartbeat: HEARTBEAT_MILLISECONDS,
      heartbeatLimit: HEARTBEAT_LIMIT_MILLISECONDS,
    };
    const dataCenters = SMALL_FLEET.dataCenters.map(plan => ({...plan, hosts}));
    const plan = {...SMALL_FLEET, keeper, dataCenters, seed};
    const run = await FleetRun.start(failureLoad(plan));
    try {
      await pause(SETTLE_MILLISECONDS);
      const {hosts: running} = run.fleet;
      const [keepers, routers] = await Promise.all([
        this.measureProcesses(running.map(host => host.keeper)),
        this.measureProcesses(running.map(host => host.router)),
      ]);
      return {hosts: running.length, keeper: keepers, router: routers};
    } finally {
      await run.close();
    }
  }

  /**
   * Mean core share and bytes per second of the processes, and the largest resident
   * memory.
   */
  private async measureProcesses(
    processes: readonly ManagedProcess[],
  ): Promise<ResultValue> {
    const before = processes.map(({pid}) => readProcessUsage(pid));
    const startedAt = performance.now();
    await pause(MEASURED_MILLISECONDS);
    const after = processes.map(({pid}) => readProcessUsage(pid));
    const seconds = (performance.now() - startedAt) / 1_000;
    const total = (of: 'processorMilliseconds' | 'bytes') =>
      after.reduce((sum, usage) => sum + usage[of], 0) -
      before.reduce((sum, usage) => sum + usage[of], 0);
    const milliseconds = seconds * 1_000 * processes.length;
    const share = total('processorMilliseconds') / milliseconds;
    const resident = after.map(usage => usage.residentMegabytes);
    return {
      coreShare: Number(share.toFixed(CORE_SHARE_DECIMALS)),
      residentMegabytes: Math.round(Math.max(...resident)),
      bytesPerSecond: Math.round(total('bytes') / seconds / processes.length),
    };
  }
}
