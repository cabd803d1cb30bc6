import {measureDecisionCost} from '../decisions-cost.js';
import {MeasureCase, type CaseResult} from '../measure-case.js';

const ENDPOINT_COUNTS = [10, 100, 1_000];
const QUEUE_LENGTHS = [10, 100, 1_000, 10_000];
const FEW_ENDPOINTS = 10;
const MANY_ENDPOINTS = 1_000;

/** Measures the processor time of a placement decision in the router. */
export class DecisionsCostCase extends MeasureCase {
  override readonly name = 'decisions-cost';
  override readonly description =
    'processor time of a decision, by number of endpoints and of queued requests';

  override run(seed: number): Promise<CaseResult> {
    const costs = [
      ...ENDPOINT_COUNTS.map(count => measureDecisionCost(seed, count, 0)),
      ...QUEUE_LENGTHS.map(count =>
        measureDecisionCost(seed, FEW_ENDPOINTS, count),
      ),
      ...QUEUE_LENGTHS.map(count =>
        measureDecisionCost(seed, MANY_ENDPOINTS, count),
      ),
    ];
    return Promise.resolve({
      passed: true,
      fields: {costs: costs.map(cost => ({...cost}))},
    });
  }
}
