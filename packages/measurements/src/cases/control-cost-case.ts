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

/** Entry hosts of each of the two data centres. */
const SIZES = [2, 4, 8];
const SETTLE_MILLISECONDS = 4_000;
const MEASURED_MILLISECONDS = 10_000;
/** A heartbeat as in operation, not the failure cases' faster one. */
const HEARTBEAT_MILLISECONDS = 1_000;
const HEARTBEAT_LIMIT_MILLISECONDS = 5_000;
const CPU_DECIMALS = 4;

/**
 * What control costs a daemon that serves nobody: share of a core, resident
 * memory, and bytes a second, at three sizes. The letter allows 1.8 % of a core,
 * 256 MB and 4 KB a second.
 */
export class ControlCostCase extends MeasureCase {
  override readonly name = 'control-cost';
  override readonly description =
    'idle fleets of 4, 8 and 16 entry hosts, heartbeat 1 s: share of a core, resident memory and bytes a second of a keeper and a router';

  override async run(seed: number): Promise<CaseResult> {
    const sizes: ResultValue[] = [];
    for (const hosts of SIZES) {
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
        this.cost(running.map(host => host.keeper)),
        this.cost(running.map(host => host.router)),
      ]);
      return {hosts: running.length, keeper: keepers, router: routers};
    } finally {
      await run.close();
    }
  }

  /** Means over the processes. */
  private async cost(
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
      coreShare: Number(share.toFixed(CPU_DECIMALS)),
      residentMegabytes: Math.round(Math.max(...resident)),
      bytesPerSecond: Math.round(total('bytes') / seconds / processes.length),
    };
  }
}
