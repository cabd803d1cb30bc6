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
import {OutcomeEvaluator, type OutcomeReport} from './outcome-report.js';
import {publish, tryPublish} from './publish.js';
import type {RunTopUp} from './refusal-audit.js';
import {pause, waitUntil} from './waiting.js';
import {ORGANISATIONS, Workload, type OrganisationPlan} from './workload.js';

const READY_TIMEOUT_MILLISECONDS = 10_000;
/**
 * Bills are appended in batches, and appended again when the answer to an append is
 * lost.
 */
const BILLING_TIMEOUT_MILLISECONDS = 10_000;
const POLL_INTERVAL_MILLISECONDS = 100;
const SUCCESS = 200;

/** Options of a run. */
export interface FleetRunOptions {
  readonly plan: FleetPlan;
  readonly organisations?: readonly OrganisationPlan[];
  readonly load: LoadOptions;
  /** Share (0 to 1) of completions that carry an idempotency key. */
  readonly keyedShare: number;
}

/**
 * Manages one fleet from its start to the evaluation of its outcomes. Each case decides
 * which load and faults to apply in between.
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
   * @throws Error if a process fails to start or a router isn't ready within 10 s.
   */
  static async start(options: FleetRunOptions): Promise<FleetRun> {
    const run = new FleetRun(await Fleet.start(options.plan), options);
    try {
      await run.publish();
      await run.waitUntilReady(run.fleet.hosts);
    } catch (error) {
      await run.close(true);
      throw error;
    }
    return run;
  }

  /** Sends the workload's requests until an action has completed. */
  async loadWhile(action: () => Promise<void>): Promise<void> {
    const stopped = new AbortController();
    const load = this.load.sendUntil(stopped.signal, () =>
      this.workload.next(this.organisations),
    );
    try {
      await action();
    } finally {
      stopped.abort();
      await load;
    }
  }

  /**
   * Publishes the fleet's current configuration.
   *
   * @param baseVersion The configuration version that it replaces.
   * @throws Error if the configuration isn't accepted.
   */
  async publish(baseVersion = 0): Promise<void> {
    const configuration = fleetConfiguration(this.fleet, this.organisations);
    await publish(this.fleet, configuration, baseVersion);
  }

  /** As `publish`, but returns the outcome instead of throwing. */
  async tryPublish(baseVersion: number): Promise<PublicationOutcome> {
    const configuration = fleetConfiguration(this.fleet, this.organisations);
    return (await tryPublish(this.fleet, configuration, baseVersion)).outcome;
  }

  /** Tops up a budget as an operator does, and records when the top-up was credited. */
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

  /**
   * Waits until the routers of some hosts report that they are ready.
   *
   * @throws Error if a router isn't ready within 10 s.
   */
  async waitUntilReady(hosts: readonly EntryHost[]): Promise<void> {
    for (const host of hosts) {
      const control = new ControlClient(host.callerAddress);
      const ready = await waitUntil(
        async () => (await control.status('/ready')) === SUCCESS,
        READY_TIMEOUT_MILLISECONDS,
      );
      await control.close();
      if (!ready) {
        throw new Error(
          `router of ${host.name} did not become ready within the time limit`,
        );
      }
    }
  }

  /**
   * Waits up to 10 s until all answered requests are billed, shuts the hosts down
   * gracefully, and evaluates the outcomes.
   */
  async finish(): Promise<OutcomeReport> {
    const deadline = performance.now() + BILLING_TIMEOUT_MILLISECONDS;
    let evaluator = await this.evaluate();
    while (evaluator.unbilled.length > 0 && performance.now() < deadline) {
      await pause(POLL_INTERVAL_MILLISECONDS);
      evaluator = await this.evaluate();
    }
    const stoppedHosts = await this.fleet.stopHosts();
    evaluator = await this.evaluate(stoppedHosts);
    for (const line of evaluator.evidence) {
      process.stderr.write(`${line}\n`);
    }
    return evaluator.report();
  }

  /**
   * Stops all processes and connections of the run.
   *
   * @param keepOutput Keeps the directory of the processes' settings and output.
   */
  async close(keepOutput = false): Promise<void> {
    await this.load.close();
    await this.fleet.close(keepOutput);
  }

  private async evaluate(
    stoppedHosts: readonly string[] = [],
  ): Promise<OutcomeEvaluator> {
    const {fleet, options} = this;
    const ledger = await auditLedger(fleet.log, options.plan.ledgerStreams);
    const executions = await ExecutionAudit.read(fleet);
    const {records} = this.load;
    return new OutcomeEvaluator(
      records,
      ledger,
      executions,
      this.topUps,
      stoppedHosts,
    );
  }
}
