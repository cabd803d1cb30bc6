import {ResultKind} from '../caller-result.js';
import {FleetCase, type CaseFields} from '../fleet-case.js';
import type {FleetRun, FleetRunOptions} from '../fleet-run.js';
import {pause} from '../waiting.js';
import {failureLoad, slowFleet} from './failure-load.js';

const REQUESTS = 500;
const CONCURRENCY = 48;
const MOST_ATTEMPTS = 10;
const REPEAT_SHARE = 0.1;
/** Every request carries a key, so that its caller may ask again. */
const KEYED_SHARE = 1;
/** Slow enough that dozens of streams are open when the router dies. */
const MILLISECONDS_PER_TOKEN = 12;
const DEATH_AFTER_MILLISECONDS = 1_500;
/** A balancer's health checks take a while to notice. */
const BALANCER_LAG_MILLISECONDS = 500;

/**
 * A router dies at once with its streams open, and all of its callers ask again
 * at other hosts within moments; every second seed takes its keeper with it.
 */
export class RetryStormCase extends FleetCase {
  override readonly name = 'retry-storm-after-router-death';
  override readonly description =
    'SIGKILL of a router (even seeds: of its host) under 48 callers who all ask again; keeper times scaled to a tenth';

  private wholeHost = false;

  protected override options(seed: number): FleetRunOptions {
    this.wholeHost = seed % 2 === 0;
    return failureLoad(slowFleet(seed, MILLISECONDS_PER_TOKEN), {
      keyedShare: KEYED_SHARE,
      concurrency: CONCURRENCY,
      mostAttempts: MOST_ATTEMPTS,
      repeatShare: REPEAT_SHARE,
      pauseMilliseconds: 0,
    });
  }

  protected override async act(run: FleetRun): Promise<CaseFields> {
    const sending = run.load.send(run.workload.requests(REQUESTS));
    await pause(DEATH_AFTER_MILLISECONDS);
    const openAtDeath = await this.killOne(run);
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

  /** Returns how many requests were open in the fleet. */
  private async killOne(run: FleetRun): Promise<number> {
    const {hosts} = run.fleet;
    const host = hosts[run.random.below(hosts.length)];
    const open = run.load.records.filter(record => record.final === undefined);
    if (host === undefined) {
      return open.length;
    }
    await (this.wholeHost ? host.kill() : host.router.kill());
    await pause(BALANCER_LAG_MILLISECONDS);
    hosts.splice(hosts.indexOf(host), 1);
    return open.length;
  }
}
