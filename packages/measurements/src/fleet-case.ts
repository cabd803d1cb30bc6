import {ResultKind} from './caller-result.js';
import {FleetRun, type FleetRunOptions} from './fleet-run.js';
import {
  MeasureCase,
  type CaseResult,
  type ResultValue,
} from './measure-case.js';
import {toCaseResult, type OutcomeReport} from './outcome-report.js';
import type {RequestRecord} from './request-record.js';

/** Result fields that only one case reports. */
export type CaseFields = Readonly<Record<string, ResultValue>>;

/**
 * Counts the requests that started within a time span, and those of them that were
 * answered.
 *
 * @param name Prefix of the returned fields.
 * @param from Start of the span, in milliseconds on the runner's monotonic clock.
 * @param until End of the span, exclusive.
 */
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

/** A case that runs a fleet under load and injects faults into it. */
export abstract class FleetCase extends MeasureCase {
  /** Names of the case's own fields that violate an invariant unless they are 0. */
  protected readonly requiredZeroFields: readonly string[] = [];

  /** Returns the options of the fleet and its callers. */
  protected abstract fleetOptions(seed: number): FleetRunOptions;

  /**
   * Sends load and injects the faults.
   *
   * @returns The case's own fields.
   */
  protected abstract runScenario(run: FleetRun): Promise<CaseFields>;

  /** Returns true if the case's own fields meet its goals. */
  protected meetsGoals(caseFields: CaseFields): boolean {
    return caseFields.passed !== false;
  }

  /**
   * Returns the names of the case's own invariants that are violated after all hosts
   * have stopped.
   */
  protected readonly violationsAfterStop: (
    report: OutcomeReport,
  ) => readonly string[] = () => [];

  override async run(seed: number): Promise<CaseResult> {
    const run = await FleetRun.start(this.fleetOptions(seed));
    let passed = false;
    try {
      const caseFields = await this.runScenario(run);
      const violations = this.requiredZeroFields.filter(
        name => caseFields[name] !== 0,
      );
      const report = await run.finish();
      violations.push(...this.violationsAfterStop(report));
      const result = toCaseResult(report, caseFields, violations);
      passed = result.passed && this.meetsGoals(caseFields);
      return {...result, passed};
    } finally {
      await run.close(!passed);
    }
  }
}
