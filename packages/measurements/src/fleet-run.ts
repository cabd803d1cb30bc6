import {topUp, type PublicationOutcome} from '@wisteriadeal/operator';
import {SystemClock} from '@wisteriadeal/runtime';
import {SeededRandomSource} from '@wisteriadeal/stand-ins';

import {randomUUID} from 'node:crypto';

import {ControlClient} from './control-client.js';
import type {EntryHost} from './entry-host.js';
import {ExecutionAudit} from './execution-audit.js';
import {fleetConfiguration} from './fleet-configuration.js';
import type {FleetPlan} from './fleet-plan.js';
import {Fleet} from './fleet.js';
import {auditLedger} from './ledger-audit.js';
import {LoadRun, type LoadOptions} from './load-run.js';
import {OutcomeJudge, type OutcomeReport} from './outcome-report.js';
import {publish, tryPublish} from './publish.js';
import type {RunTopUp} from './refusal-audit.js';
import {pause, waitUntil} from './waiting.js';
import {ORGANISATIONS, Workload, type OrganisationPlan} from './workload.js';

const READY_LIMIT_MILLISECONDS = 10_000;
/** Bills are appended in batches, and again after a lost answer. */
const BILL_LIMIT_MILLISECONDS = 10_000;
const LOOK_MILLISECONDS = 100;
const SUCCESS = 200;

/** How a run is set up. */
export interface FleetRunOptions {
  readonly plan: FleetPlan;
  readonly organisations?: readonly OrganisationPlan[];
  readonly load: LoadOptions;
  /** Share (0 to 1) of completions that carry a key. */
  readonly keyedShare: number;
}

/**
 * One fleet from its start to the judgement: what a case does in between is its
 * own.
 */
export class FleetRun {
  readonly organisations: readonly OrganisationPlan[];
  readonly random: SeededRandomSource;
  readonly workload: Workload;
  readonly load: LoadRun;
  private readonly topUps: RunTopUp[] = [];

  private constructor(
    readonly fleet: Fleet,
    private readonly options: FleetRunOptions,
  ) {
    this.organisations = options.organisations ?? ORGANISATIONS;
    this.random = new SeededRandomSource(options.plan.seed);
    this.workload = new Workload(this.random, options.keyedShare);
    this.load = new LoadRun(fleet, this.random, options.load);
  }

  /**
   * Starts a fleet, publishes its configuration, and waits until every router is
   * ready.
   *
   * @throws Error where a process does not start or a router does not get ready.
   */
  static async start(options: FleetRunOptions): Promise<FleetRun> {
    const run = new FleetRun(await Fleet.start(options.plan), options);
    try {
      await run.publish();
      await run.waitReady(run.fleet.hosts);
    } catch (error) {
      await run.close(true);
      throw error;
    }
    return run;
  }

  /** Sends the workload's requests while something happens. */
  async loadWhile(happens: () => Promise<void>): Promise<void> {
    const stopped = new AbortController();
    const load = this.load.sendUntil(stopped.signal, () =>
      this.workload.next(this.organisations),
    );
    try {
      await happens();
    } finally {
      stopped.abort();
      await load;
    }
  }

  /** Publishes the fleet's configuration, as it is now, over version `base`. */
  async publish(baseVersion = 0): Promise<void> {
    const configuration = fleetConfiguration(this.fleet, this.organisations);
    await publish(this.fleet, configuration, baseVersion);
  }

  /** As `publish`, but tells what was decided. */
  async tryPublish(baseVersion: number): Promise<PublicationOutcome> {
    const configuration = fleetConfiguration(this.fleet, this.organisations);
    return (await tryPublish(this.fleet, configuration, baseVersion)).outcome;
  }

  /** Tops a budget up, as an operator does; counts from when it is credited. */
  async topUp(organisation: string, tokens: number): Promise<void> {
    await topUp(this.fleet.log, new SystemClock(), {
      organisation,
      tokens,
      entryId: randomUUID(),
      operator: 'runner',
      reason: 'measurement',
      ledgerStreams: this.options.plan.ledgerStreams,
    });
    const atMilliseconds = performance.now();
    this.topUps.push({organisation, tokens, atMilliseconds});
  }

  /** Waits until routers say that they are ready. */
  async waitReady(hosts: readonly EntryHost[]): Promise<void> {
    for (const host of hosts) {
      const control = new ControlClient(host.callerAddress);
      const ready = await waitUntil(
        async () => (await control.status('/ready')) === SUCCESS,
        READY_LIMIT_MILLISECONDS,
      );
      await control.close();
      if (!ready) {
        throw new Error(`the router of ${host.name} did not get ready`);
      }
    }
  }

  /**
   * Waits until answered requests are billed, stops the hosts in good order, and
   * judges the whole.
   */
  async finish(): Promise<OutcomeReport> {
    const limit = performance.now() + BILL_LIMIT_MILLISECONDS;
    let judge = await this.judge();
    while (judge.unbilled.length > 0 && performance.now() < limit) {
      await pause(LOOK_MILLISECONDS);
      judge = await this.judge();
    }
    const stoppedHosts = await this.fleet.stopHosts();
    judge = await this.judge(stoppedHosts);
    for (const line of judge.evidence) {
      process.stderr.write(`${line}\n`);
    }
    return judge.report();
  }

  /** Ends everything that the run started. */
  async close(keepOutput = false): Promise<void> {
    await this.load.close();
    await this.fleet.close(keepOutput);
  }

  private async judge(
    stoppedHosts: readonly string[] = [],
  ): Promise<OutcomeJudge> {
    const {fleet, options} = this;
    const ledger = await auditLedger(fleet.log, options.plan.ledgerStreams);
    const executions = await ExecutionAudit.read(fleet);
    const {records} = this.load;
    return new OutcomeJudge(
      records,
      ledger,
      executions,
      this.topUps,
      stoppedHosts,
    );
  }
}
