import {measureDecisionCost} from '../decisions-cost.js';
import {MeasureCase, type CaseResult} from '../measure-case.js';

const ENDPOINTS = [10, 100, 1_000];
const QUEUED = [10, 100, 1_000, 10_000];
const FEW_ENDPOINTS = 10;
const MANY_ENDPOINTS = 1_000;

/** What a decision costs the router's processor. */
export class DecisionsCostCase extends MeasureCase {
  override readonly name = 'decisions-cost';
  override readonly description =
    'processor time of a decision, by endpoints and by queued requests';

  override run(seed: number): Promise<CaseResult> {
    const costs = [
      ...ENDPOINTS.map(count => measureDecisionCost(seed, count, 0)),
      ...QUEUED.map(count => measureDecisionCost(seed, FEW_ENDPOINTS, count)),
      ...QUEUED.map(count => measureDecisionCost(seed, MANY_ENDPOINTS, count)),
    ];
    return Promise.resolve({
      passed: true,
      fields: {costs: costs.map(cost => ({...cost}))},
    });
  }
}
