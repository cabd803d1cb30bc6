import {WorkClass, type RefusalReason} from '@wisteriadeal/decisions';

import type {CallerRequest} from './decisions-workload.js';

/** What became of an organisation's requests. */
interface OrganisationTally {
  offeredWork: number;
  usefulWork: number;
  usefulTokens: number;
}

/** The figures of one run. */
export interface DecisionsFigures {
  readonly requests: number;
  /** Of those, whole answers whose first token came in time. */
  readonly answeredInTime: number;
  /**
   * Useful work: whole answers in time that ended within the measured time, as
   * their engine time without any cache over the engines' time. A fleet that
   * finds prompts in its caches gets above 1.
   */
  readonly usefulWorkShare: number;
  readonly usefulAnswersPerSecond: number;
  readonly interactiveP50Milliseconds: number;
  readonly interactiveP95Milliseconds: number;
  readonly interactiveP99Milliseconds: number;
  /** Of the interactive requests, those with a first token in time. */
  readonly interactiveInTimeShare: number;
  readonly batchInTimeShare: number;
  readonly refusals: Readonly<Record<string, number>>;
  readonly gaveUp: number;
  /** Requests that the core still held when all callers had gone. */
  readonly forgotten: number;
  /** Jain's index over the organisations' shares of their offered work. */
  readonly fairness: number;
  readonly usefulTokensByOrganisation: Readonly<Record<string, number>>;
  readonly prefixHitShare: number;
  /** Engine tokens spent on answers that nobody awaited, over all. */
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

/** Counts what the callers of one run saw within the measured time. */
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

  /** @param workOf Engine time of a request without any cache. */
  constructor(private readonly workOf: (request: CallerRequest) => number) {}

  offer(request: CallerRequest): void {
    this.requests++;
    this.add(this.offered, request.workClass);
    this.organisation(request).offeredWork += this.workOf(request);
  }

  refuse(reason: RefusalReason): void {
    this.refusals.set(reason, (this.refusals.get(reason) ?? 0) + 1);
  }

  giveUp(): void {
    this.gaveUp++;
  }

  firstToken(request: CallerRequest, milliseconds: number): void {
    if (request.workClass === WorkClass.Interactive) {
      this.firstTokens.push(milliseconds);
    }
  }

  /** A whole answer whose first token came in time. */
  answer(request: CallerRequest): void {
    this.answeredInTime++;
    this.add(this.inTime, request.workClass);
    const organisation = this.organisation(request);
    organisation.usefulWork += this.workOf(request);
    organisation.usefulTokens += request.promptTokens + request.outputTokens;
  }

  /** A whole answer in time ended within the measured time. */
  complete(request: CallerRequest): void {
    this.completed++;
    this.completedWork += this.workOf(request);
  }

  /** Prompt tokens that could have been in the cache, and those that were. */
  prefix(shared: number, cached: number): void {
    this.prefixTokens += shared;
    this.cachedTokens += cached;
  }

  /** Tokens that an engine worked on. */
  spend(tokens: number, isWasted: boolean): void {
    this.spentTokens += tokens;
    this.wastedTokens += isWasted ? tokens : 0;
  }

  /** @param engineMilliseconds Time of all engines within the measured time. */
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

  private organisation(request: CallerRequest): OrganisationTally {
    const known = this.organisations.get(request.organisation);
    if (known !== undefined) {
      return known;
    }
    const tally = {offeredWork: 0, usefulWork: 0, usefulTokens: 0};
    this.organisations.set(request.organisation, tally);
    return tally;
  }
}
