import {PublicationOutcome} from '@wisteriadeal/operator';
import {SeededRandomSource} from '@wisteriadeal/stand-ins';

import type {EntryHost} from '../entry-host.js';
import {FleetCase, type CaseFields} from '../fleet-case.js';
import {PLATFORM_LOCATION} from '../fleet-network.js';
import {SMALL_FLEET} from '../fleet-plan.js';
import type {FleetRun, FleetRunOptions} from '../fleet-run.js';
import {RelayState} from '../relay.js';
import {VersionWatch} from '../version-watch.js';
import {pause} from '../waiting.js';
import {findUnusableTokens} from './configuration-in-force-case.js';
import {failureLoad} from './failure-load.js';

const ISOLATED_DATA_CENTER = 'kigali-2';
const OTHER_DATA_CENTER = 'kigali-1';
const CONVERGENCE_LIMIT_MILLISECONDS = 16_000;
const PARTITION_MILLISECONDS = 4_000;
const MAXIMUM_KILL_DELAY_MILLISECONDS = 2_600;
const SKIPPED_IDENTIFIERS = 8;
/**
 * Time for a new host to read the platform's list. Until then it knows the hosts of the
 * other data centre only by their own addresses, which bypass the relays, so that the
 * partition doesn't affect its connections to them.
 */
const LIST_READ_MILLISECONDS = 1_500;

/** When the neighbour of the replaced host is replaced too. */
export enum NeighbourReplacement {
  Never = 'never',
  /** Before any connection is cut, so that hosts elsewhere become witnesses. */
  BeforeCut = 'before-cut',
  /**
   * While the platform is cut off and the other data centre is in reach. The new host
   * can't read the platform's list before the heal, so its own connections to the other
   * data centre may bypass the relays and outlast the isolation.
   */
  WithoutPlatform = 'without-platform',
}

/** Which hosts of the isolated data centre are replaced, and when. */
export interface ReplacementPlan {
  readonly name: string;
  /** Completes the description: the hosts that are replaced and when. */
  readonly replaced: string;
  /** True if the platform is cut off before the first publication, not after it. */
  readonly cutsPlatformFirst: boolean;
  readonly neighbour: NeighbourReplacement;
  /** Earliest time of the kill after the data centre is isolated. */
  readonly minimumKillDelayMilliseconds: number;
}

/** Each plan is a case of its own. */
export const REPLACEMENT_PLANS: readonly ReplacementPlan[] = [
  {
    name: 'replaced-data-center',
    replaced:
      'both of its hosts replaced in turn, one while only the platform is cut off, the other 1 to 2.6 s after the isolation',
    cutsPlatformFirst: false,
    neighbour: NeighbourReplacement.WithoutPlatform,
    minimumKillDelayMilliseconds: 1_000,
  },
  {
    name: 'witness-in-other-data-center',
    replaced:
      'one of its hosts replaced before, so that the witnesses are in the other data centre, and the other host up to 2.6 s after the isolation',
    cutsPlatformFirst: false,
    neighbour: NeighbourReplacement.BeforeCut,
    minimumKillDelayMilliseconds: 0,
  },
  {
    name: 'replaced-host',
    replaced: 'either of its hosts replaced up to 2.6 s after the isolation',
    cutsPlatformFirst: false,
    neighbour: NeighbourReplacement.Never,
    minimumKillDelayMilliseconds: 0,
  },
  {
    name: 'replaced-host-without-platform',
    replaced:
      'the platform cut off before the first publication, and either of its hosts replaced up to 2.6 s after the isolation',
    cutsPlatformFirst: true,
    neighbour: NeighbourReplacement.Never,
    minimumKillDelayMilliseconds: 0,
  },
];

function processesOf(hosts: readonly EntryHost[]) {
  return hosts.flatMap(({router, keeper}) => [router, keeper]);
}

/**
 * Publishes configurations while one data centre loses its connection to the platform,
 * then to the other data centre, and replaces hosts of it at times and in an order that
 * are derived from the seed. Every answered request must be billed, none that was
 * reported as not run may be, and grants must not keep tokens.
 */
export class ReplacedDataCenterCase extends FleetCase {
  override readonly name: string;
  override readonly description: string;

  protected override readonly requiredZeroFields = [
    'reverts',
    'lateVersions',
    'wrongWinners',
  ];

  constructor(private readonly plan: ReplacementPlan) {
    super();
    this.name = plan.name;
    this.description = `a data centre partitioned from the platform, then isolated; ${plan.replaced}; two operators publish concurrently (limit 16 s)`;
  }

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
        fields = await this.publishAndReplace(run, watch);
      });
    } finally {
      watch.close();
      await watching;
    }
    return {...fields, reverts: watch.reverts};
  }

  private async publishAndReplace(
    run: FleetRun,
    watch: VersionWatch,
  ): Promise<CaseFields> {
    const {fleet} = run;
    const {plan} = this;
    const random = this.createRandomSource(fleet.plan.seed);
    const hosts = fleet.hostsOf(ISOLATED_DATA_CENTER);
    const replacedIndex = random.below(hosts.length);
    const killDelayMilliseconds =
      plan.minimumKillDelayMilliseconds +
      random.below(
        MAXIMUM_KILL_DELAY_MILLISECONDS - plan.minimumKillDelayMilliseconds + 1,
      );
    const [replaced, neighbour] = [
      hosts[replacedIndex],
      hosts[(replacedIndex + 1) % hosts.length],
    ];
    const allProcesses = () => processesOf(fleet.hosts);
    const secondsUntilInForce = (version: number) =>
      watch.secondsUntil(version, allProcesses, CONVERGENCE_LIMIT_MILLISECONDS);
    const setPlatform = (state: RelayState) =>
      fleet.setNetwork(ISOLATED_DATA_CENTER, PLATFORM_LOCATION, state);
    const setOtherDataCenter = (state: RelayState) =>
      fleet.setNetwork(ISOLATED_DATA_CENTER, OTHER_DATA_CENTER, state);

    if (plan.cutsPlatformFirst) {
      await setPlatform(RelayState.Silent);
    }
    await run.publish(1);
    const secondsUntilFirst = await secondsUntilInForce(2);

    if (plan.neighbour === NeighbourReplacement.BeforeCut) {
      await this.replaceHost(run, watch, neighbour, 2);
      await pause(LIST_READ_MILLISECONDS);
    }
    await setPlatform(RelayState.Silent);
    const outcomes = await Promise.all([run.tryPublish(2), run.tryPublish(2)]);
    if (plan.neighbour === NeighbourReplacement.WithoutPlatform) {
      await this.replaceHost(run, watch, neighbour, 3);
    }
    const secondsWithoutPlatform = await secondsUntilInForce(3);

    await setOtherDataCenter(RelayState.Silent);
    await run.publish(3);
    await pause(killDelayMilliseconds);
    const replacedVersion = await this.replaceHost(run, watch, replaced, 3);
    await pause(PARTITION_MILLISECONDS);
    await setOtherDataCenter(RelayState.Open);
    await setPlatform(RelayState.Open);
    const secondsAfterHeal = await secondsUntilInForce(4);

    const acceptedCount = outcomes.filter(
      outcome => outcome === PublicationOutcome.Accepted,
    ).length;
    const seconds = {
      secondsUntilFirst,
      secondsWithoutPlatform,
      secondsAfterHeal,
    };
    return {
      ...seconds,
      lateVersions: Object.values(seconds).filter(value => value < 0).length,
      raceOutcomes: outcomes,
      wrongWinners: Math.abs(acceptedCount - 1),
      killDelayMilliseconds,
      replacedHost: replaced?.name ?? '',
      replacedVersion,
    };
  }

  /**
   * Returns a random source for the times and the order of the replacements. The run's
   * own source can't be used: its numbers depend on the progress of the callers.
   */
  private createRandomSource(seed: number): SeededRandomSource {
    const random = new SeededRandomSource(seed);
    // The first numbers of successive seeds differ by little.
    for (let drawn = 0; drawn < SKIPPED_IDENTIFIERS; drawn++) {
      random.identifier();
    }
    return random;
  }

  /**
   * Kills a host, starts another one in its data centre, and waits until the new one
   * has the version that is in force there.
   *
   * @returns The configuration version that the new router reached.
   */
  private async replaceHost(
    run: FleetRun,
    watch: VersionWatch,
    host: EntryHost | undefined,
    version: number,
  ): Promise<number> {
    const {fleet} = run;
    if (host !== undefined) {
      await fleet.killHost(host);
    }
    const replacement = await fleet.addHost(ISOLATED_DATA_CENTER);
    const processes = () => processesOf([replacement]);
    await watch.secondsUntil(
      version,
      processes,
      CONVERGENCE_LIMIT_MILLISECONDS,
    );
    return watch.versionOf(replacement.router);
  }
}
