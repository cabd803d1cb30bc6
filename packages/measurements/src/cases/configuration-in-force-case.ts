import {PublicationOutcome} from '@wisteriadeal/operator';

import type {EntryHost} from '../entry-host.js';
import {FleetCase, type CaseFields} from '../fleet-case.js';
import {PLATFORM_LOCATION} from '../fleet-network.js';
import {SMALL_FLEET} from '../fleet-plan.js';
import type {FleetRun, FleetRunOptions} from '../fleet-run.js';
import type {OutcomeReport} from '../outcome-report.js';
import {RelayState} from '../relay.js';
import {VersionWatch} from '../version-watch.js';
import {pause} from '../waiting.js';
import {failureLoad} from './failure-load.js';

const ISOLATED_DATA_CENTER = 'kigali-2';
const OTHER_DATA_CENTER = 'kigali-1';
const CONVERGENCE_LIMIT_MILLISECONDS = 16_000;
const PARTITION_MILLISECONDS = 4_000;
/** Refusals for lack of budget are allowed once 97 % of the prepaid tokens are used. */
const MAXIMUM_UNUSED_SHARE = 0.03;

function processesOf(hosts: readonly EntryHost[]) {
  return hosts.flatMap(({router, keeper}) => [router, keeper]);
}

/**
 * Finds tokens that remain in grants after all hosts have stopped, where no request
 * can use them. Up to 3 % of a budget may remain; a host that shut down gracefully
 * must have returned all of its tokens.
 *
 * @returns Names of the report's fields that exceed their limit.
 */
export function findUnusableTokens(report: OutcomeReport): readonly string[] {
  const {grantedTokens, grantedTokensOfStoppedHosts, budget} = report;
  return [
    ...(grantedTokens > MAXIMUM_UNUSED_SHARE * budget ? ['grantedTokens'] : []),
    ...(grantedTokensOfStoppedHosts > 0 ? ['grantedTokensOfStoppedHosts'] : []),
  ];
}

/**
 * Two operators publish concurrently while one data centre loses its connection to
 * the platform, then to the other data centre too, and one of its hosts is replaced.
 * Each accepted version must reach every process, and no process may return to an
 * older version.
 */
export class ConfigurationInForceCase extends FleetCase {
  override readonly name = 'configuration-in-force';
  override readonly description =
    'two operators publish concurrently while a data centre is partitioned and one of its hosts replaced; seconds until each version is in force in every process (limit 16 s)';

  protected override readonly requiredZeroFields = [
    'reverts',
    'lateVersions',
    'wrongWinners',
  ];

  protected override fleetOptions(seed: number): FleetRunOptions {
    return failureLoad({...SMALL_FLEET, seed});
  }

  protected override readonly violationsAfterStop = findUnusableTokens;

  protected override async runScenario(run: FleetRun): Promise<CaseFields> {
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
    const allProcesses = () => processesOf(fleet.hosts);
    const secondsUntilInForce = (version: number) =>
      watch.secondsUntil(version, allProcesses, CONVERGENCE_LIMIT_MILLISECONDS);

    await run.publish(1);
    const secondsUndisturbed = await secondsUntilInForce(2);

    await fleet.setNetwork(
      ISOLATED_DATA_CENTER,
      PLATFORM_LOCATION,
      RelayState.Silent,
    );
    const outcomes = await Promise.all([run.tryPublish(2), run.tryPublish(2)]);
    const secondsWithoutPlatform = await secondsUntilInForce(3);

    await fleet.setNetwork(
      ISOLATED_DATA_CENTER,
      OTHER_DATA_CENTER,
      RelayState.Silent,
    );
    await run.publish(3);
    const replacedVersion = await this.replaceHost(run, watch);
    await pause(PARTITION_MILLISECONDS);
    await fleet.setNetwork(
      ISOLATED_DATA_CENTER,
      OTHER_DATA_CENTER,
      RelayState.Open,
    );
    await fleet.setNetwork(
      ISOLATED_DATA_CENTER,
      PLATFORM_LOCATION,
      RelayState.Open,
    );
    const secondsAfterHeal = await secondsUntilInForce(4);

    const acceptedCount = outcomes.filter(
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
      wrongWinners: Math.abs(acceptedCount - 1),
      replacedVersion,
    };
  }

  /**
   * Replaces a host of the isolated data centre. The new host reaches neither the
   * platform nor the other data centre, and can ask only its neighbour.
   *
   * @returns The configuration version that the new router reached during the
   *     partition; version 3 is in force in the isolated data centre.
   */
  private async replaceHost(
    run: FleetRun,
    watch: VersionWatch,
  ): Promise<number> {
    const {fleet} = run;
    const [replacedHost] = fleet.hostsOf(ISOLATED_DATA_CENTER);
    if (replacedHost !== undefined) {
      await fleet.killHost(replacedHost);
    }
    const replacement = await fleet.addHost(ISOLATED_DATA_CENTER);
    const processes = () => processesOf([replacement]);
    await watch.secondsUntil(3, processes, CONVERGENCE_LIMIT_MILLISECONDS);
    return watch.versionOf(replacement.router);
  }
}
