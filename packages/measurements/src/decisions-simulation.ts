import {
  DecisionKind,
  LoadCore,
  WorkOutcome,
  type Decision,
} from '@wisteriadeal/decisions';

import {ModelledEngine, workMilliseconds} from './decisions-engine.js';
import {
  countWork,
  sequenceOf,
  workItemOf,
  type Attempt,
} from './decisions-attempt.js';
import {SeededRandom} from './decisions-random.js';
import {scheduleReports} from './decisions-reports.js';
import {SIMULATED_DATA_CENTER, type Simulation} from './decisions-scenario.js';
import {DecisionsTally, type DecisionsFigures} from './decisions-tally.js';
import {Timeline} from './decisions-timeline.js';
import {scheduleArrivals} from './decisions-arrivals.js';
import type {SimulatedRequest} from './decisions-workload.js';

const SERVICE = 'tutor-models';
const MODEL = 'tutor-7b';
/** Mean retry delay of callers that ignore the delay stated in a refusal. */
const IMMEDIATE_RETRY_MILLISECONDS = 100;
/**
 * Time after the measurement in which the longest answer at the slowest engine can
 * finish.
 */
const DRAIN_MILLISECONDS = 400_000;

/** Runs one simulation. */
export class SimulationRun {
  private readonly timeline = new Timeline();
  private readonly core: LoadCore;
  private readonly engines: ReadonlyMap<string, ModelledEngine>;
  private readonly enginesInStep = new Set<ModelledEngine>();
  private readonly attempts = new Map<string, Attempt>();
  private readonly tally: DecisionsTally;
  private readonly random: SeededRandom;
  private nextRequest = 0;

  constructor(private readonly simulation: Simulation) {
    const {engines, seed} = simulation;
    const policyRandom = new SeededRandom(seed, 'policies');
    const fraction = () => policyRandom.fraction();
    this.random = new SeededRandom(seed, 'callers');
    this.engines = new Map(
      engines.map(model => [model.endpoint, new ModelledEngine(model)]),
    );
    this.core = new LoadCore({
      dataCenter: SIMULATED_DATA_CENTER,
      maximumQueuedRequests: simulation.maximumQueuedRequests,
      fraction,
      roundTripMilliseconds: () => simulation.roundTripMilliseconds,
      policies: simulation.createPolicies(fraction),
    });
    const slots = engines[0]?.slots ?? 1;
    this.tally = new DecisionsTally(({promptTokens, outputTokens}) =>
      workMilliseconds(promptTokens, outputTokens, slots),
    );
  }

  /**
   * Runs the simulation to its end.
   *
   * @returns The figures of the measured time, from the callers' point of view.
   */
  run(): DecisionsFigures {
    const {engines, demands, measureFrom, measureUntil} = this.simulation;
    this.core.updateEndpoints(
      engines.map(model => ({
        endpoint: model.endpoint,
        service: SERVICE,
        models: [MODEL],
        dataCenter: model.dataCenter,
        slots: model.slots,
        leaving: false,
      })),
      0,
    );
    for (const demand of demands) {
      scheduleArrivals(
        demand,
        this.simulation.seed,
        this.timeline,
        measureUntil,
        (request, now) => {
          this.offer(request, this.simulation.callers.retries, now, false);
        },
      );
    }
    for (const engine of this.engines.values()) {
      scheduleReports(
        engine,
        this.simulation.reports,
        this.simulation.seed,
        this.timeline,
        measureUntil + DRAIN_MILLISECONDS,
        (report, now) => {
          const {endpoint} = engine.model;
          this.apply(this.core.report(endpoint, report, now), now);
        },
      );
    }
    this.timeline.runUntil(measureUntil + DRAIN_MILLISECONDS);
    const measured = measureUntil - measureFrom;
    return this.tally.figures(
      measured * engines.length,
      measured / 1_000,
      this.core.queuedRequests + this.core.placedRequests,
    );
  }

  private offer(
    request: SimulatedRequest,
    remainingRetries: number,
    now: number,
    isRetry: boolean,
  ): void {
    const attempt: Attempt = {
      requestId: `request-${this.nextRequest++}`,
      request,
      offeredAt: now,
      remainingRetries: remainingRetries,
      isCounted: this.isMeasured(now),
      engine: undefined,
      sequence: undefined,
      firstTokenAt: undefined,
      hasEnded: false,
    };
    this.attempts.set(attempt.requestId, attempt);
    if (attempt.isCounted && !isRetry) {
      this.tally.recordOffer(request);
    }
    this.timeline.schedule(now + request.deadlineMilliseconds, at => {
      this.handleDeadline(attempt, at);
    });
    const item = workItemOf(attempt, SERVICE, MODEL, isRetry);
    this.apply([this.core.offer(item, now)], now);
    this.scheduleWake();
  }

  private isMeasured(now: number): boolean {
    const {measureFrom, measureUntil} = this.simulation;
    return now >= measureFrom && now < measureUntil;
  }

  private scheduleWake(): void {
    const wakeAt = this.core.nextWakeAt();
    if (wakeAt !== undefined) {
      this.timeline.schedule(wakeAt, now => {
        this.apply(this.core.advance(now), now);
      });
    }
  }

  private apply(decisions: readonly Decision[], now: number): void {
    for (const decision of decisions) {
      const attempt = this.attempts.get(decision.requestId);
      if (attempt === undefined) {
        throw new Error(
          `received a decision for unknown request ${decision.requestId}`,
        );
      }
      switch (decision.kind) {
        case DecisionKind.Place:
          this.dispatch(attempt, decision.endpoint, now);
          break;
        case DecisionKind.Refuse:
          this.end(attempt);
          if (attempt.isCounted) {
            this.tally.recordRefusal(decision.reason);
          }
          this.retry(attempt, now, decision.retryAfterMilliseconds);
          break;
        case DecisionKind.Queue:
          break;
      }
    }
  }

  private dispatch(attempt: Attempt, endpoint: string, now: number): void {
    const engine = this.engines.get(endpoint);
    if (engine === undefined) {
      throw new Error(`request was placed at unknown endpoint ${endpoint}`);
    }
    const sequence = sequenceOf(attempt);
    attempt.engine = engine;
    attempt.sequence = sequence;
    this.timeline.schedule(now + this.oneWayMilliseconds(engine), at => {
      if (!attempt.hasEnded) {
        engine.add(sequence);
        this.step(engine, at);
      }
    });
  }

  private oneWayMilliseconds(engine: ModelledEngine): number {
    return engine.model.dataCenter === SIMULATED_DATA_CENTER
      ? 0
      : this.simulation.roundTripMilliseconds / 2;
  }

  private step(engine: ModelledEngine, now: number): void {
    if (this.enginesInStep.has(engine) || engine.isIdle) {
      return;
    }
    this.enginesInStep.add(engine);
    this.timeline.schedule(now + engine.beginStep(now), at => {
      this.enginesInStep.delete(engine);
      const {firstTokens, finished} = engine.endStep();
      const receivedAt = at + this.oneWayMilliseconds(engine);
      for (const {requestId} of firstTokens) {
        this.timeline.schedule(receivedAt, () => {
          this.firstToken(requestId, receivedAt);
        });
      }
      for (const {requestId} of finished) {
        this.timeline.schedule(receivedAt, () => {
          this.finish(requestId, WorkOutcome.Answered, receivedAt);
        });
      }
      this.step(engine, at);
    });
  }

  private firstToken(requestId: string, now: number): void {
    const attempt = this.attempts.get(requestId);
    if (attempt === undefined || attempt.hasEnded) {
      return;
    }
    attempt.firstTokenAt = now;
    this.core.firstToken(requestId, now);
    if (attempt.isCounted) {
      this.tally.recordFirstToken(attempt.request, now - attempt.offeredAt);
    }
  }

  /**
   * Cancels the request if it has no first token by its deadline, as its caller
   * disconnects.
   */
  private handleDeadline(attempt: Attempt, now: number): void {
    if (attempt.hasEnded || attempt.firstTokenAt !== undefined) {
      return;
    }
    if (attempt.isCounted) {
      this.tally.recordGivenUp();
    }
    if (attempt.sequence === undefined) {
      this.end(attempt);
      this.apply(this.core.withdraw(attempt.requestId, now), now);
    } else {
      attempt.engine?.remove(attempt.sequence);
      this.finish(attempt.requestId, WorkOutcome.Cancelled, now);
    }
    this.retry(attempt, now, 0);
  }

  private finish(requestId: string, outcome: WorkOutcome, now: number): void {
    const attempt = this.attempts.get(requestId);
    const sequence = attempt?.sequence;
    if (attempt === undefined || sequence === undefined || attempt.hasEnded) {
      return;
    }
    this.end(attempt);
    if (outcome === WorkOutcome.Answered && this.isMeasured(now)) {
      this.tally.recordCompletion(attempt.request);
    }
    if (attempt.isCounted) {
      countWork(
        this.tally,
        attempt.request,
        sequence,
        outcome === WorkOutcome.Answered,
      );
    }
    const decisions = this.core.finished(
      requestId,
      {
        endpoint: attempt.engine?.model.endpoint ?? '',
        outcome,
        promptTokens: attempt.request.promptTokens,
        outputTokens: sequence.generatedTokens,
      },
      now,
    );
    this.apply(decisions, now);
    this.scheduleWake();
  }

  private retry(
    attempt: Attempt,
    now: number,
    retryAfterMilliseconds: number,
  ): void {
    const {callers} = this.simulation;
    if (attempt.remainingRetries === 0) {
      return;
    }
    const delay =
      callers.honoursRetryAfter && retryAfterMilliseconds > 0
        ? retryAfterMilliseconds
        : IMMEDIATE_RETRY_MILLISECONDS * (0.5 + this.random.fraction());
    this.timeline.schedule(now + delay, at => {
      this.offer(attempt.request, attempt.remainingRetries - 1, at, true);
    });
  }

  private end(attempt: Attempt): void {
    attempt.hasEnded = true;
    this.attempts.delete(attempt.requestId);
  }
}
