import type {EntryHost} from '../entry-host.js';
import {FleetRun} from '../fleet-run.js';
import {SMALL_FLEET} from '../fleet-plan.js';
import {MeasureCase, type CaseResult} from '../measure-case.js';
import {toCaseResult} from '../outcome-report.js';
import {readProcessUsage} from '../processor-time.js';
import {pause} from '../waiting.js';

const IDLE_MILLISECONDS = 5_000;
const REQUESTS = 1_200;
const WARM_UP_REQUESTS = 200;
const CONCURRENCY = 16;
const MAXIMUM_ATTEMPTS = 5;
/** Times as in production, in milliseconds; the failure cases use shorter ones. */
const PRODUCTION_TIMES = {
  heartbeat: 1_000,
  heartbeatLimit: 5_000,
  billFlush: 500,
};
const CONFIGURATION_STREAM = 'configuration';

/**
 * Processor time summed over all entry hosts, and the largest resident memory of one
 * process.
 */
interface FleetUsage {
  readonly keeperMilliseconds: number;
  readonly routerMilliseconds: number;
  readonly largestKeeperMegabytes: number;
  readonly largestRouterMegabytes: number;
}

function readFleetUsage(hosts: readonly EntryHost[]): FleetUsage {
  const keepers = hosts.map(({keeper}) => readProcessUsage(keeper.pid));
  const routers = hosts.map(({router}) => readProcessUsage(router.pid));
  const sum = (usages: typeof keepers) =>
    usages.reduce((total, usage) => total + usage.processorMilliseconds, 0);
  const largest = (usages: typeof keepers) =>
    Math.max(...usages.map(usage => usage.residentMegabytes));
  return {
    keeperMilliseconds: sum(keepers),
    routerMilliseconds: sum(routers),
    largestKeeperMegabytes: largest(keepers),
    largestRouterMegabytes: largest(routers),
  };
}

async function countAppends(run: FleetRun, streams: number): Promise<number> {
  const names = Array.from({length: streams}, (_, index) => `ledger-${index}`);
  const endOffsets = await Promise.all(
    [CONFIGURATION_STREAM, ...names].map(async name => {
      const page = await run.fleet.log.read(name, 0, 1, 0);
      return page.endOffset;
    }),
  );
  return endOffsets.reduce((total, end) => total + end, 0);
}

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}

/**
 * Measures the cost of a request in running routers and keepers: processor time as
 * counted by the kernel, idle and under load, and appends to the platform's log.
 */
export class CapacityRequestsCase extends MeasureCase {
  override readonly name = 'capacity-requests';
  override readonly description =
    'processor time of routers and keepers, idle and per request; log appends';

  override async run(seed: number): Promise<CaseResult> {
    const run = await FleetRun.start({
      plan: {
        ...SMALL_FLEET,
        keeper: {...SMALL_FLEET.keeper, ...PRODUCTION_TIMES},
        seed,
      },
      keyedShare: 0,
      load: {
        concurrency: CONCURRENCY,
        maximumAttempts: MAXIMUM_ATTEMPTS,
        repeatShare: 0,
        pauseMilliseconds: 0,
      },
    });
    let passed = false;
    try {
      const measured = await this.measure(run);
      const result = toCaseResult(await run.finish());
      passed = result.passed;
      return {passed, fields: {...result.fields, ...measured}};
    } finally {
      await run.close(!passed);
    }
  }

  private async measure(run: FleetRun): Promise<Record<string, number>> {
    const {hosts} = run.fleet;
    const streams = SMALL_FLEET.ledgerStreams;
    await run.load.send(run.workload.requests(WARM_UP_REQUESTS));
    const usageBeforeIdle = readFleetUsage(hosts);
    const appendsBeforeIdle = await countAppends(run, streams);
    await pause(IDLE_MILLISECONDS);
    const usageBeforeLoad = readFleetUsage(hosts);
    const appendsBeforeLoad = await countAppends(run, streams);
    const startedAt = performance.now();
    await run.load.send(run.workload.requests(REQUESTS));
    const milliseconds = performance.now() - startedAt;
    const usageAfterLoad = readFleetUsage(hosts);
    const appends = (await countAppends(run, streams)) - appendsBeforeLoad;
    const idleProcessMilliseconds = IDLE_MILLISECONDS * hosts.length;
    const idleKeeper =
      (usageBeforeLoad.keeperMilliseconds -
        usageBeforeIdle.keeperMilliseconds) /
      idleProcessMilliseconds;
    const idleRouter =
      (usageBeforeLoad.routerMilliseconds -
        usageBeforeIdle.routerMilliseconds) /
      idleProcessMilliseconds;
    const loadProcessMilliseconds = milliseconds * hosts.length;
    const keeperMilliseconds =
      usageAfterLoad.keeperMilliseconds -
      usageBeforeLoad.keeperMilliseconds -
      idleKeeper * loadProcessMilliseconds;
    const routerMilliseconds =
      usageAfterLoad.routerMilliseconds -
      usageBeforeLoad.routerMilliseconds -
      idleRouter * loadProcessMilliseconds;
    return {
      hosts: hosts.length,
      idleKeeperCoreShare: round(idleKeeper),
      idleRouterCoreShare: round(idleRouter),
      idleAppendsEachSecond: round(
        (appendsBeforeLoad - appendsBeforeIdle) / (IDLE_MILLISECONDS / 1_000),
      ),
      keeperMillisecondsEachRequest: round(keeperMilliseconds / REQUESTS),
      routerMillisecondsEachRequest: round(routerMilliseconds / REQUESTS),
      requestsEachSecond: round(REQUESTS / (milliseconds / 1_000)),
      appendsEachThousandRequests: round((appends / REQUESTS) * 1_000),
      appendsEachSecond: round(appends / (milliseconds / 1_000)),
      largestKeeperMegabytes: usageAfterLoad.largestKeeperMegabytes,
      largestRouterMegabytes: usageAfterLoad.largestRouterMegabytes,
    };
  }
}
