import {ResultKind} from '../caller-result.js';
import {FleetCase, type CaseFields} from '../fleet-case.js';
import type {FleetRun, FleetRunOptions} from '../fleet-run.js';
import {pause} from '../waiting.js';
import {failureLoad, slowEngineFleet} from './failure-load.js';

const REQUESTS = 500;
const CONCURRENCY = 48;
const MAXIMUM_ATTEMPTS = 10;
const REPEAT_SHARE = 0.1;
/** Every request carries an idempotency key, so that its caller may retry it. */
const KEYED_SHARE = 1;
/** Slow enough that dozens of streams are open when the router is killed. */
const MILLISECONDS_PER_TOKEN = 12;
const KILL_AFTER_MILLISECONDS = 1_500;
/** Delay until the load balancer's health checks detect the killed router. */
const BALANCER_DETECTION_MILLISECONDS = 500;

/**
 * Kills a router that has open streams; all of its callers retry at other hosts almost
 * at once. With an even seed the host's keeper is killed too.
 */
export class RetryStormCase extends FleetCase {
  override readonly name = 'retry-storm-after-router-death';
  override readonly description =
    'SIGKILL of a router (even seeds: of its keeper too) under 48 callers who all retry; keeper times scaled to a tenth';

  private killsKeeper = false;

  protected override fleetOptions(seed: number): FleetRunOptions {
    this.killsKeeper = seed % 2 === 0;
    return failureLoad(slowEngineFleet(seed, MILLISECONDS_PER_TOKEN), {
      keyedShare: KEYED_SHARE,
      concurrency: CONCURRENCY,
      maximumAttempts: MAXIMUM_ATTEMPTS,
      repeatShare: REPEAT_SHARE,
      pauseMilliseconds: 0,
    });
  }

  protected override async runScenario(run: FleetRun): Promise<CaseFields> {
    const sending = run.load.send(run.workload.requests(REQUESTS));
    await pause(KILL_AFTER_MILLISECONDS);
    const openAtDeath = await this.killRandomRouter(run);
    await sending;
    const lost = run.load.records
      .flatMap(record => record.results)
      .filter(result => result.kind === ResultKind.Lost);
    return {
      openAtDeath,
      brokenExchanges: lost.length,
      brokenStreams: lost.filter(({requestId}) => requestId !== '').length,
    };
  }

  /**
   * @returns Number of requests in progress in the whole fleet at the time of the kill.
   */
  private async killRandomRouter(run: FleetRun): Promise<number> {
    const {hosts} = run.fleet;
    const host = hosts[run.random.below(hosts.length)];
    const open = run.load.records.filter(record => record.final === undefined);
    if (host === undefined) {
      return open.length;
    }
    await (this.killsKeeper ? host.kill() : host.router.kill());
    await pause(BALANCER_DETECTION_MILLISECONDS);
    hosts.splice(hosts.indexOf(host), 1);
    return open.length;
  }
}
