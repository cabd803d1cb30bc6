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

/** What every run reports; a run's last line is this as JSON. */
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
  /** Refused for want of budget although enough of it was left. */
  readonly falseRefusals: number;
  readonly p50Milliseconds: number;
  readonly p99Milliseconds: number;
  readonly p99FirstTokenMilliseconds: number;
  /** Exchanges beyond the first of a request. */
  readonly retries: number;
  /** Callers that never got a word. */
  readonly lost: number;
  readonly wrongAnswers: number;
  readonly billedTwice: number;
  readonly answeredNotBilled: number;
  readonly wrongAmounts: number;
  readonly unconfirmedBills: number;
  /** Told "not run" in the end, and yet an endpoint ran it or a bill stands. */
  readonly notRunThatRan: number;
  /** Non-idempotent requests that ran more than once. */
  readonly ranTwice: number;
  /** In grants, neither billed nor returned, when the run ended. */
  readonly grantedTokens: number;
  /** Of these, in grants of hosts that stopped in good order. */
  readonly grantedTokensOfStoppedHosts: number;
  /** Last results by name of their problem. */
  readonly problems: Readonly<Record<string, number>>;
  /** What of the above breaks a promise; empty where all hold. */
  readonly brokenPromises: readonly string[];
}

const LINES_SHOWN = 5;
const MEDIAN = 50;
const NINETY_NINTH = 99;

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

function leftTokens(audit: OrganisationAudit | undefined): number {
  return (audit?.creditedTokens ?? 0) - (audit?.billedTokens ?? 0);
}

function describeRecords(
  what: string,
  records: readonly RequestRecord[],
): string[] {
  return records.slice(0, LINES_SHOWN).map(record => {
    const {requestId, request, mismatch, results} = record;
    const kinds = results.map(({kind, problem}) => `${kind} ${problem}`.trim());
    const {organisation} = request.from;
    return `${what}: ${requestId} of ${organisation}, ${request.kind} ${mismatch} (${kinds.join(', ')})`;
  });
}

/** Judges a run by its callers' records, the log and the endpoints. */
export class OutcomeJudge {
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

  /** Answered requests that have no bill on the log yet. */
  get unbilled(): readonly RequestRecord[] {
    return this.of(ResultKind.Answered).filter(
      record => !this.ledger.bills.has(record.requestId),
    );
  }

  /** Evidence on what went wrong, a few lines of each kind, for people. */
  get evidence(): readonly string[] {
    return [
      ...describeRecords(
        'wrong answer',
        this.records.filter(record => record.mismatch !== ''),
      ),
      ...describeRecords('not billed', this.unbilled),
      ...describeRecords('told "not run"', this.notRunThatRan),
      ...this.falseRefusals
        .slice(0, LINES_SHOWN)
        .map(
          ({record, leftTokens}) =>
            `${record.request.from.organisation}: refused a bound of ${record.boundTokens} with ${leftTokens} left`,
        ),
      ...this.ledger.openGrants
        .slice(0, LINES_SHOWN)
        .map(
          grant =>
            `grant ${grant.grantId} holds ${grant.tokens - grant.billedTokens}: holder ${grant.holder}, witness ${grant.witness}, inherited ${grant.inherited.map(({requestId}) => requestId).join(' ')}${grant.closed ? ', closed' : ''}`,
        ),
    ];
  }

  /** The whole report. */
  report(): OutcomeReport {
    const counts = this.counts();
    return {...counts, brokenPromises: brokenPromises(counts)};
  }

  private counts(): Omit<OutcomeReport, 'brokenPromises'> {
    const answered = this.of(ResultKind.Answered);
    const {organisations} = this.ledger;
    const finals = answered.flatMap(record => record.final ?? []);
    const bills = [...this.ledger.bills.values()];
    return {
      requests: this.records.length,
      answered: answered.length,
      refusedNotRun: this.of(ResultKind.NotRun).length,
      failed: this.of(ResultKind.Failed).length,
      outcomeUnknown: this.of(ResultKind.Unknown).length,
      billed: bills.length,
      budget: sum(organisations.map(each => each.creditedTokens)),
      spent: sum(organisations.map(each => each.billedTokens)),
      overspentTokens: sum(
        organisations.map(each => Math.max(0, -leftTokens(each))),
      ),
      falseRefusals: this.falseRefusals.length,
      p50Milliseconds: percentile(
        finals.map(result => result.milliseconds),
        MEDIAN,
      ),
      p99Milliseconds: percentile(
        finals.map(result => result.milliseconds),
        NINETY_NINTH,
      ),
      p99FirstTokenMilliseconds: percentile(
        finals.map(result => result.firstMilliseconds),
        NINETY_NINTH,
      ),
      retries: sum(this.records.map(record => record.results.length - 1)),
      lost: this.of(ResultKind.Lost).length,
      wrongAnswers: this.records.filter(record => record.mismatch !== '')
        .length,
      billedTwice: this.ledger.billedTwice,
      answeredNotBilled: this.unbilled.length,
      wrongAmounts: this.wrongAmounts(),
      unconfirmedBills: bills.filter(bill => !bill.confirmed).length,
      notRunThatRan: this.notRunThatRan.length,
      ranTwice: this.ranTwice(),
      grantedTokens: sum(organisations.map(each => each.grantedTokens)),
      grantedTokensOfStoppedHosts: tokensHeldBy(
        this.ledger.openGrants,
        this.stoppedHosts,
      ),
      problems: countProblems(this.records),
    };
  }

  private of(kind: ResultKind): RequestRecord[] {
    return this.records.filter(record => record.final?.kind === kind);
  }

  /** Confirmed bills that differ from what the answer says was used. */
  private wrongAmounts(): number {
    return this.of(ResultKind.Answered).filter(record => {
      const bill = this.ledger.bills.get(record.requestId);
      return bill?.confirmed === true && bill.tokens !== record.final?.tokens;
    }).length;
  }

  private get notRunThatRan(): readonly RequestRecord[] {
    return this.records.filter(
      record =>
        record.requestId !== '' &&
        record.results.every(({kind}) => kind === ResultKind.NotRun) &&
        (this.executions.runs(record.requestId) > 0 ||
          this.ledger.bills.has(record.requestId)),
    );
  }

  private ranTwice(): number {
    return this.records.filter(
      ({request, requestId}) =>
        request.kind === RequestKind.NonIdempotentCall &&
        this.executions.runs(requestId) > 1,
    ).length;
  }
}

/**
 * Tokens in grants whose holders run on some hosts.
 *
 * @param hosts Names of hosts; a holder's incarnation begins with its host's.
 * @example
 * ```ts
 * const left = tokensHeldBy(audit.openGrants, ['kigali-1-host-0']);
 * ```
 */
export function tokensHeldBy(
  grants: readonly GrantState[],
  hosts: readonly string[],
): number {
  const held = grants.filter(({holder}) =>
    hosts.some(host => holder.startsWith(`${host}/`)),
  );
  return sum(held.map(({tokens, billedTokens}) => tokens - billedTokens));
}

/** The counts that must be 0, whatever fails. */
const ZERO_COUNTS = [
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
  return ZERO_COUNTS.filter(name => counts[name] !== 0);
}

/**
 * A report as a case's result, with the case's own fields and the promises of its
 * own that were broken.
 */
export function toCaseResult(
  report: OutcomeReport,
  own: CaseResult['fields'] = {},
  ownBroken: readonly string[] = [],
): CaseResult {
  const broken = [...report.brokenPromises, ...ownBroken];
  const fields = {...report, ...own, brokenPromises: broken};
  return {fields, passed: broken.length === 0};
}
