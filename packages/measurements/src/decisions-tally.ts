import {WorkClass, type RefusalReason} from '@wisteriadeal/decisions';

import type {SimulatedRequest} from './decisions-workload.js';

/** Work of an organisation's requests: engine time in milliseconds, and tokens. */
interface OrganisationTally {
  offeredWork: number;
  usefulWork: number;
  usefulTokens: number;
}

/** The figures of one run. */
export interface DecisionsFigures {
  readonly requests: number;
  /** Requests with a complete answer whose first token met the deadline. */
  readonly answeredInTime: number;
  /**
   * Engine time, without cache hits, of the complete answers that met the deadline and
   * ended within the measured time, divided by the engines' total time. Cache hits can
   * raise it above 1.
   */
  readonly usefulWorkShare: number;
  readonly usefulAnswersPerSecond: number;
  readonly interactiveP50Milliseconds: number;
  readonly interactiveP95Milliseconds: number;
  readonly interactiveP99Milliseconds: number;
  /**
   * Share of interactive requests with a complete answer whose first token met the
   * deadline.
   */
  readonly interactiveInTimeShare: number;
  readonly batchInTimeShare: number;
  readonly refusals: Readonly<Record<string, number>>;
  readonly gaveUp: number;
  /** Requests that remained in the core after the drain time; must be 0. */
  readonly forgotten: number;
  /**
   * Jain's fairness index of useful work divided by offered work, over the
   * organisations.
   */
  readonly fairness: number;
  readonly usefulTokensByOrganisation: Readonly<Record<string, number>>;
  readonly prefixHitShare: number;
  /** Share of the engine tokens that was spent on cancelled requests. */
  readonly wastedShare: number;
}

function quantile(sorted: readonly number[], share: number): number {
  const position = Math.min(
    sorted.length - 1,
    Math.ceil(share * sorted.length) - 1,
  );
  return Math.round(sorted[Math.max(0, position)] ?? 0);
}

function jainIndex(values: readonly number[]): number {
  const sum = values.reduce((total, value) => total + value, 0);
  const squares = values.reduce((total, value) => total + value * value, 0);
  return squares === 0 ? 1 : (sum * sum) / (values.length * squares);
}

function rounded(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}

function shareOf(part: number, whole: number): number {
  return whole === 0 ? 0 : rounded(part / whole);
}

/**
 * Counts the outcomes of one run within the measured time, from the callers' point of
 * view.
 */
export class DecisionsTally {
  private readonly firstTokens: number[] = [];
  private readonly refusals = new Map<RefusalReason, number>();
  private readonly organisations = new Map<string, OrganisationTally>();
  private readonly offered = new Map<WorkClass, number>();
  private readonly inTime = new Map<WorkClass, number>();
  private requests = 0;
  private answeredInTime = 0;
  private gaveUp = 0;
  private completed = 0;
  private completedWork = 0;
  private prefixTokens = 0;
  private cachedTokens = 0;
  private spentTokens = 0;
  private wastedTokens = 0;

  /**
   * @param workOf Returns the engine time of a request without cache hits, in
   *     milliseconds.
   */
  constructor(private readonly workOf: (request: SimulatedRequest) => number) {}

  recordOffer(request: SimulatedRequest): void {
    this.requests++;
    this.add(this.offered, request.workClass);
    this.organisation(request).offeredWork += this.workOf(request);
  }

  recordRefusal(reason: RefusalReason): void {
    this.refusals.set(reason, (this.refusals.get(reason) ?? 0) + 1);
  }

  recordGivenUp(): void {
    this.gaveUp++;
  }

  recordFirstToken(request: SimulatedRequest, milliseconds: number): void {
    if (request.workClass === WorkClass.Interactive) {
      this.firstTokens.push(milliseconds);
    }
  }

  /** Records a complete answer whose first token met the deadline. */
  recordAnswer(request: SimulatedRequest): void {
    this.answeredInTime++;
    this.add(this.inTime, request.workClass);
    const organisation = this.organisation(request);
    organisation.usefulWork += this.workOf(request);
    organisation.usefulTokens += request.promptTokens + request.outputTokens;
  }

  /** Records an answer, as in `recordAnswer`, that ended within the measured time. */
  recordCompletion(request: SimulatedRequest): void {
    this.completed++;
    this.completedWork += this.workOf(request);
  }

  /** Records the prompt tokens that could have been cached, and those that were. */
  recordPrefixTokens(shared: number, cached: number): void {
    this.prefixTokens += shared;
    this.cachedTokens += cached;
  }

  /** Records tokens processed by an engine. */
  recordSpentTokens(tokens: number, isWasted: boolean): void {
    this.spentTokens += tokens;
    this.wastedTokens += isWasted ? tokens : 0;
  }

  /**
   * Returns the figures of the run.
   *
   * @param engineMilliseconds Measured time multiplied by the number of engines.
   * @param seconds Measured time, in seconds.
   * @param forgotten Requests that remained in the core after the drain time.
   */
  figures(
    engineMilliseconds: number,
    seconds: number,
    forgotten: number,
  ): DecisionsFigures {
    const sorted = this.firstTokens.toSorted((left, right) => left - right);
    const organisations = [...this.organisations].toSorted(([left], [right]) =>
      left.localeCompare(right),
    );
    return {
      requests: this.requests,
      answeredInTime: this.answeredInTime,
      usefulWorkShare: shareOf(this.completedWork, engineMilliseconds),
      usefulAnswersPerSecond: rounded(this.completed / seconds),
      interactiveP50Milliseconds: quantile(sorted, 0.5),
      interactiveP95Milliseconds: quantile(sorted, 0.95),
      interactiveP99Milliseconds: quantile(sorted, 0.99),
      interactiveInTimeShare: this.inTimeShare(WorkClass.Interactive),
      batchInTimeShare: this.inTimeShare(WorkClass.Batch),
      refusals: Object.fromEntries(this.refusals),
      gaveUp: this.gaveUp,
      forgotten,
      fairness: rounded(
        jainIndex(
          organisations.map(
            ([, tally]) => tally.usefulWork / tally.offeredWork,
          ),
        ),
      ),
      usefulTokensByOrganisation: Object.fromEntries(
        organisations.map(([name, tally]) => [name, tally.usefulTokens]),
      ),
      prefixHitShare: shareOf(this.cachedTokens, this.prefixTokens),
      wastedShare: shareOf(this.wastedTokens, this.spentTokens),
    };
  }

  private inTimeShare(workClass: WorkClass): number {
    return shareOf(
      this.inTime.get(workClass) ?? 0,
      this.offered.get(workClass) ?? 0,
    );
  }

  private add(counts: Map<WorkClass, number>, workClass: WorkClass): void {
    counts.set(workClass, (counts.get(workClass) ?? 0) + 1);
  }

  private organisation(request: SimulatedRequest): OrganisationTally {
    const existing = this.organisations.get(request.organisation);
    if (existing !== undefined) {
      return existing;
    }
    const tally = {offeredWork: 0, usefulWork: 0, usefulTokens: 0};
    this.organisations.set(request.organisation, tally);
    return tally;
  }
}
