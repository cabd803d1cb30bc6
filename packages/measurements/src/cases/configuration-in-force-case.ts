import {PublicationOutcome} from '@wisteriadeal/operator';

import type {EntryHost} from '../entry-host.js';
import {FleetCase, type CaseFields} from '../fleet-case.js';
import {PLATFORM_PLACE} from '../fleet-network.js';
import {SMALL_FLEET} from '../fleet-plan.js';
import type {FleetRun, FleetRunOptions} from '../fleet-run.js';
import type {OutcomeReport} from '../outcome-report.js';
import {RelayState} from '../relay.js';
import {VersionWatch} from '../version-watch.js';
import {pause} from '../waiting.js';
import {failureLoad} from './failure-load.js';

const CUT_OFF = 'kigali-2';
const OTHER = 'kigali-1';
const LIMIT_MILLISECONDS = 16_000;
const CUT_MILLISECONDS = 4_000;
/** A refusal for budget is owed only beyond 97 % of what was paid. */
const MOST_UNUSABLE_PART = 0.03;

function processesOf(hosts: readonly EntryHost[]) {
  return hosts.flatMap(({router, keeper}) => [router, keeper]);
}

/**
 * Tokens in grants after all hosts have stopped are of no use to anybody. A budget may
 * lie idle to a small part; a host that stopped in good order keeps nothing.
 */
function unusableTokens(report: OutcomeReport): readonly string[] {
  const {grantedTokens, grantedTokensOfStoppedHosts, budget} = report;
  return [
    ...(grantedTokens > MOST_UNUSABLE_PART * budget ? ['grantedTokens'] : []),
    ...(grantedTokensOfStoppedHosts > 0 ? ['grantedTokensOfStoppedHosts'] : []),
  ];
}

/**
 * Operators race, one data centre loses the platform and then everything, and a
 * host is replaced meanwhile. Each accepted version must reach every process and
 * none may go back.
 */
export class ConfigurationInForceCase extends FleetCase {
  override readonly name = 'configuration-in-force';
  override readonly description =
    'two operators race while a data centre is cut off and a host is replaced there; seconds until in force everywhere (limit 16 s)';

  protected override readonly mustBeZero = [
    'reverts',
    'lateVersions',
    'wrongWinners',
  ];

  protected override options(seed: number): FleetRunOptions {
    return failureLoad({...SMALL_FLEET, seed});
  }

  protected override readonly brokenAtEnd = unusableTokens;

  protected override async act(run: FleetRun): Promise<CaseFields> {
    const watch = new VersionWatch(run.fleet);
    const watching = watch.run();
    let fields: CaseFields = {};
    try {
      await run.loadWhile(async () => {
        fields = await this.publishInTurn(run, watch);
      });
    } finally {
      watch.close();
      await watching;
    }
    return {...fields, reverts: watch.reverts};
  }

  private async publishInTurn(
    run: FleetRun,
    watch: VersionWatch,
  ): Promise<CaseFields> {
    const {fleet} = run;
    const everywhere = () => processesOf(fleet.hosts);
    const inForce = (version: number) =>
      watch.secondsUntil(version, everywhere, LIMIT_MILLISECONDS);

    await run.publish(1);
    const secondsUndisturbed = await inForce(2);

    await fleet.setNetwork(CUT_OFF, PLATFORM_PLACE, RelayState.Silent);
    const outcomes = await Promise.all([run.tryPublish(2), run.tryPublish(2)]);
    const secondsWithoutPlatform = await inForce(3);

    await fleet.setNetwork(CUT_OFF, OTHER, RelayState.Silent);
    await run.publish(3);
    const replacedVersion = await this.replaceHost(run, watch);
    await pause(CUT_MILLISECONDS);
    await fleet.setNetwork(CUT_OFF, OTHER, RelayState.Open);
    await fleet.setNetwork(CUT_OFF, PLATFORM_PLACE, RelayState.Open);
    const secondsAfterHeal = await inForce(4);

    const winners = outcomes.filter(
      outcome => outcome === PublicationOutcome.Accepted,
    ).length;
    const seconds = {
      secondsUndisturbed,
      secondsWithoutPlatform,
      secondsAfterHeal,
    };
    return {
      ...seconds,
      lateVersions: Object.values(seconds).filter(value => value < 0).length,
      raceOutcomes: outcomes,
      wrongWinners: Math.abs(winners - 1),
      replacedVersion,
    };
  }

  /**
   * A fresh host in the cut-off data centre, which can ask only its neighbour.
   *
   * @returns The version that it came to without the platform; 3 is in force
   *     there.
   */
  private async replaceHost(
    run: FleetRun,
    watch: VersionWatch,
  ): Promise<number> {
    const {fleet} = run;
    const [victim] = fleet.hostsOf(CUT_OFF);
    if (victim !== undefined) {
      await fleet.killHost(victim);
    }
    const fresh = await fleet.addHost(CUT_OFF);
    const processes = () => processesOf([fresh]);
    await watch.secondsUntil(3, processes, LIMIT_MILLISECONDS);
    return watch.versionOf(fresh.router);
  }
}
