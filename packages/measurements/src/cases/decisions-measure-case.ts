import type {DecisionsCase, DecisionsReport} from '../decisions-case.js';
import type {DecisionsFigures} from '../decisions-tally.js';
import {MeasureCase, type CaseResult} from '../measure-case.js';

function countRefused(figures: DecisionsFigures): number {
  return Object.values(figures.refusals).reduce((sum, count) => sum + count, 0);
}

function sumFigures(
  report: DecisionsReport,
  count: (figures: DecisionsFigures) => number,
): number {
  return report.variants.reduce((sum, {chosen}) => sum + count(chosen), 0);
}

function printReport(report: DecisionsReport): void {
  for (const {name, chosen, baseline} of report.variants) {
    process.stdout.write(`${name}\n`);
    for (const [label, figures] of Object.entries({chosen, baseline})) {
      const shown = {...figures, usefulTokensByOrganisation: undefined};
      process.stdout.write(`  ${label.padEnd(9)}${JSON.stringify(shown)}\n`);
    }
  }
}

/**
 * Runs a simulation of the placement decisions. It involves no processes, sockets or
 * budgets, so the result's common fields about bills are 0. The common counts are
 * those of the chosen policies, summed over all variants.
 */
export class DecisionsMeasureCase extends MeasureCase {
  override readonly name: string;
  override readonly description: string;

  constructor(private readonly decisionsCase: DecisionsCase) {
    super();
    this.name = decisionsCase.name;
    this.description = decisionsCase.description;
  }

  override run(seed: number): Promise<CaseResult> {
    const report = this.decisionsCase.run(seed);
    printReport(report);
    const last = report.variants.at(-1)?.chosen;
    const forgotten = report.variants.reduce(
      (sum, {chosen, baseline}) => sum + chosen.forgotten + baseline.forgotten,
      0,
    );
    return Promise.resolve({
      passed: forgotten === 0,
      fields: {
        requests: sumFigures(report, figures => figures.requests),
        answered: sumFigures(report, figures => figures.answeredInTime),
        refusedNotRun: sumFigures(report, countRefused),
        failed: 0,
        outcomeUnknown: 0,
        billed: 0,
        budget: 0,
        spent: 0,
        overspentTokens: 0,
        falseRefusals: 0,
        p50Milliseconds: last?.interactiveP50Milliseconds ?? 0,
        p99Milliseconds: last?.interactiveP99Milliseconds ?? 0,
        forgotten,
        capacityWorkShare: report.capacityWorkShare,
        capacityRequestsPerSecond: report.capacityRequestsPerSecond,
        goals: report.goals.map(goal => ({...goal})),
        variants: report.variants.map(variant => ({
          name: variant.name,
          chosen: {...variant.chosen},
          baseline: {...variant.baseline},
        })),
      },
    });
  }
}
