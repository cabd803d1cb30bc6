import type {GrantState} from '@wisteriadeal/schema';
import {build} from 'hdr-histogram-js';

import {RequestKind} from './caller-request.js';
import {ResultKind} from './caller-result.js';
import type {ExecutionAudit} from './execution-audit.js';
import type {CaseResult} from './measure-case.js';
import type {LedgerAudit, OrganisationAudit} from './ledger-audit.js';
import {
  findFalseRefusals,
  type FalseRefusal,
  type RunTopUp,
} from './refusal-audit.js';
import type {RequestRecord} from './request-record.js';

/** The report of a run; printed as the JSON result line. */
export interface OutcomeReport {
  readonly requests: number;
  readonly answered: number;
  readonly refusedNotRun: number;
  readonly failed: number;
  readonly outcomeUnknown: number;
  readonly billed: number;
  readonly budget: number;
  readonly spent: number;
  readonly overspentTokens: number;
  /** Requests refused for lack of budget although enough budget remained. */
  readonly falseRefusals: number;
  readonly p50Milliseconds: number;
  readonly p99Milliseconds: number;
  readonly p99FirstTokenMilliseconds: number;
  /** Exchanges after the first one of each request. */
  readonly retries: number;
  /** Requests without an answer whose last exchange ended with a broken connection. */
  readonly lost: number;
  readonly wrongAnswers: number;
  readonly billedTwice: number;
  readonly answeredNotBilled: number;
  readonly wrongAmounts: number;
  readonly unconfirmedBills: number;
  /**
   * Requests reported as not run in every exchange although an endpoint ran them or a
   * bill exists.
   */
  readonly notRunThatRan: number;
  /** Non-idempotent requests that ran more than once. */
  readonly ranTwice: number;
  /** Tokens in grants, neither billed nor returned, at the end of the run. */
  readonly grantedTokens: number;
  /** The part of `grantedTokens` in grants of hosts that shut down gracefully. */
  readonly grantedTokensOfStoppedHosts: number;
  /** Number of requests by the problem name of their final result. */
  readonly problems: Readonly<Record<string, number>>;
  /** Names of the counts that violate an invariant; empty if none does. */
  readonly brokenPromises: readonly string[];
}

const MAXIMUM_EVIDENCE_LINES = 5;
const P50_PERCENTILE = 50;
const P99_PERCENTILE = 99;

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0);
}

function percentile(values: readonly number[], share: number): number {
  const histogram = build();
  for (const value of values) {
    histogram.recordValue(Math.round(value));
  }
  return histogram.getValueAtPercentile(share);
}

function countProblems(records: readonly RequestRecord[]) {
  const problems: Record<string, number> = {};
  for (const {final} of records) {
    if (final !== undefined && final.problem !== '') {
      problems[final.problem] = (problems[final.problem] ?? 0) + 1;
    }
  }
  return problems;
}

function remainingTokens(audit: OrganisationAudit | undefined): number {
  return (audit?.creditedTokens ?? 0) - (audit?.billedTokens ?? 0);
}

function describeRecords(
  what: string,
  records: readonly RequestRecord[],
): string[] {
  return records.slice(0, MAXIMUM_EVIDENCE_LINES).map(record => {
    const {requestId, request, mismatch, results} = record;
    const kinds = results.map(({kind, problem}) => `${kind} ${problem}`.trim());
    const {organisation} = request.from;
    return `${what}: ${requestId} of ${organisation}, ${request.kind} ${mismatch} (${kinds.join(', ')})`;
  });
}

/**
 * Evaluates a run by comparing the callers' records with the ledger and the endpoints'
 * executions.
 */
export class OutcomeEvaluator {
  private readonly falseRefusals: readonly FalseRefusal[];

  constructor(
    private readonly records: readonly RequestRecord[],
    private readonly ledger: LedgerAudit,
    private readonly executions: ExecutionAudit,
    topUps: readonly RunTopUp[] = [],
    private readonly stoppedHosts: readonly string[] = [],
  ) {
    this.falseRefusals = findFalseRefusals(records, ledger, topUps);
  }

  /** Answered requests that have no bill in the log yet. */
  get unbilled(): readonly RequestRecord[] {
    return this.recordsEndingIn(ResultKind.Answered).filter(
      record => !this.ledger.bills.has(record.requestId),
    );
  }

  /** Diagnostic lines about violations and open grants, at most five of each kind. */
  get evidence(): readonly string[] {
    return [
      ...describeRecords(
        'wrong answer',
        this.records.filter(record => record.mismatch !== ''),
      ),
      ...describeRecords('not billed', this.unbilled),
      ...describeRecords('reported as not run', this.notRunThatRan),
      ...this.falseRefusals
        .slice(0, MAXIMUM_EVIDENCE_LINES)
        .map(
          ({record, remainingTokens}) =>
            `${record.request.from.organisation}: refused a request bounded by ${record.boundTokens} tokens with ${remainingTokens} remaining`,
        ),
      ...this.ledger.openGrants
        .slice(0, MAXIMUM_EVIDENCE_LINES)
        .map(
          grant =>
            `grant ${grant.grantId} has ${grant.tokens - grant.billedTokens} unbilled tokens: holder ${grant.holder}, witness ${grant.witness}, inherited ${grant.inherited.map(({requestId}) => requestId).join(' ')}${grant.closed ? ', closed' : ''}`,
        ),
    ];
  }

  /** Returns the complete report. */
  report(): OutcomeReport {
    const counts = this.counts();
    return {...counts, brokenPromises: brokenPromises(counts)};
  }

  private counts(): Omit<OutcomeReport, 'brokenPromises'> {
    const answered = this.recordsEndingIn(ResultKind.Answered);
    const {organisations} = this.ledger;
    const finalResults = answered.flatMap(record => record.final ?? []);
    const bills = [...this.ledger.bills.values()];
    return {
      requests: this.records.length,
      answered: answered.length,
      refusedNotRun: this.recordsEndingIn(ResultKind.NotRun).length,
      failed: this.recordsEndingIn(ResultKind.Failed).length,
      outcomeUnknown: this.recordsEndingIn(ResultKind.Unknown).length,
      billed: bills.length,
      budget: sum(organisations.map(each => each.creditedTokens)),
      spent: sum(organisations.map(each => each.billedTokens)),
      overspentTokens: sum(
        organisations.map(each => Math.max(0, -remainingTokens(each))),
      ),
      falseRefusals: this.falseRefusals.length,
      p50Milliseconds: percentile(
        finalResults.map(result => result.milliseconds),
        P50_PERCENTILE,
      ),
      p99Milliseconds: percentile(
        finalResults.map(result => result.milliseconds),
        P99_PERCENTILE,
      ),
      p99FirstTokenMilliseconds: percentile(
        finalResults.map(result => result.firstMilliseconds),
        P99_PERCENTILE,
      ),
      retries: sum(this.records.map(record => record.results.length - 1)),
      lost: this.recordsEndingIn(ResultKind.Lost).length,
      wrongAnswers: this.records.filter(record => record.mismatch !== '')
        .length,
      billedTwice: this.ledger.billedTwice,
      answeredNotBilled: this.unbilled.length,
      wrongAmounts: this.wrongAmounts(),
      unconfirmedBills: bills.filter(bill => !bill.confirmed).length,
      notRunThatRan: this.notRunThatRan.length,
      ranTwice: this.ranTwice(),
      grantedTokens: sum(organisations.map(each => each.grantedTokens)),
      grantedTokensOfStoppedHosts: unbilledTokensOfHosts(
        this.ledger.openGrants,
        this.stoppedHosts,
      ),
      problems: countProblems(this.records),
    };
  }

  private recordsEndingIn(kind: ResultKind): RequestRecord[] {
    return this.records.filter(record => record.final?.kind === kind);
  }

  /** Counts confirmed bills whose tokens differ from the usage stated in the answer. */
  private wrongAmounts(): number {
    return this.recordsEndingIn(ResultKind.Answered).filter(record => {
      const bill = this.ledger.bills.get(record.requestId);
      return bill?.confirmed === true && bill.tokens !== record.final?.tokens;
    }).length;
  }

  private get notRunThatRan(): readonly RequestRecord[] {
    return this.records.filter(
      record =>
        record.requestId !== '' &&
        record.results.every(({kind}) => kind === ResultKind.NotRun) &&
        (this.executions.countExecutions(record.requestId) > 0 ||
          this.ledger.bills.has(record.requestId)),
    );
  }

  private ranTwice(): number {
    return this.records.filter(
      ({request, requestId}) =>
        request.kind === RequestKind.NonIdempotentCall &&
        this.executions.countExecutions(requestId) > 1,
    ).length;
  }
}

/**
 * Returns the unbilled tokens in grants whose holders ran on the given hosts.
 *
 * @param hosts Host names; a holder's incarnation starts with its host's name.
 * @example
 * ```ts
 * const remaining = unbilledTokensOfHosts(audit.openGrants, ['kigali-1-host-0']);
 * ```
 */
export function unbilledTokensOfHosts(
  grants: readonly GrantState[],
  hosts: readonly string[],
): number {
  const matching = grants.filter(({holder}) =>
    hosts.some(host => holder.startsWith(`${host}/`)),
  );
  return sum(matching.map(({tokens, billedTokens}) => tokens - billedTokens));
}

/** Counts that must be 0 whichever faults are injected. */
const REQUIRED_ZERO_COUNTS = [
  'overspentTokens',
  'wrongAnswers',
  'billedTwice',
  'answeredNotBilled',
  'wrongAmounts',
  'notRunThatRan',
  'ranTwice',
] as const;

function brokenPromises(
  counts: Omit<OutcomeReport, 'brokenPromises'>,
): readonly string[] {
  return REQUIRED_ZERO_COUNTS.filter(name => counts[name] !== 0);
}

/**
 * Converts a report to a case's result.
 *
 * @param caseFields Result fields that only this case reports.
 * @param caseViolations Names of the case's own invariants that were violated.
 */
export function toCaseResult(
  report: OutcomeReport,
  caseFields: CaseResult['fields'] = {},
  caseViolations: readonly string[] = [],
): CaseResult {
  const broken = [...report.brokenPromises, ...caseViolations];
  const fields = {...report, ...caseFields, brokenPromises: broken};
  return {fields, passed: broken.length === 0};
}
