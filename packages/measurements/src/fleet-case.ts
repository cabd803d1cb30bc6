import {ResultKind} from './caller-result.js';
import {FleetRun, type FleetRunOptions} from './fleet-run.js';
import {
  MeasureCase,
  type CaseResult,
  type ResultValue,
} from './measure-case.js';
import {toCaseResult, type OutcomeReport} from './outcome-report.js';
import type {RequestRecord} from './request-record.js';

/** The case's own fields. */
export type CaseFields = Readonly<Record<string, ResultValue>>;

/** What callers got within a span of a case. */
export function spanFields(
  name: string,
  records: readonly RequestRecord[],
  from: number,
  until: number,
): CaseFields {
  const within = records.filter(
    ({startedAtMilliseconds}) =>
      startedAtMilliseconds >= from && startedAtMilliseconds < until,
  );
  const answered = within.filter(
    ({final}) => final?.kind === ResultKind.Answered,
  );
  return {
    [`${name}Requests`]: within.length,
    [`${name}Answered`]: answered.length,
  };
}

/** A case that runs a fleet under load while something happens to it. */
export abstract class FleetCase extends MeasureCase {
  /** The case's own fields that break a promise unless they are 0. */
  protected readonly mustBeZero: readonly string[] = [];

  /** How the fleet and its callers are set up. */
  protected abstract options(seed: number): FleetRunOptions;

  /**
   * Sends load and makes the faults.
   *
   * @returns The case's own fields.
   */
  protected abstract act(run: FleetRun): Promise<CaseFields>;

  /** Whether the case's own fields keep its own promise. */
  protected holds(own: CaseFields): boolean {
    return own.passed !== false;
  }

  /** Promises of the case's own that are broken once all hosts have stopped. */
  protected readonly brokenAtEnd: (report: OutcomeReport) => readonly string[] =
    () => [];

  override async run(seed: number): Promise<CaseResult> {
    const run = await FleetRun.start(this.options(seed));
    let passed = false;
    try {
      const own = await this.act(run);
      const broken = this.mustBeZero.filter(name => own[name] !== 0);
      const report = await run.finish();
      broken.push(...this.brokenAtEnd(report));
      const result = toCaseResult(report, own, broken);
      passed = result.passed && this.holds(own);
      return {...result, passed};
    } finally {
      await run.close(!passed);
    }
  }
}
