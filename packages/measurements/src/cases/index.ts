import {DECISIONS_CASES} from '../decisions-cases.js';
import type {MeasureCase} from '../measure-case.js';
import {BudgetReserveCase} from './budget-reserve-case.js';
import {CapacityRequestsCase} from './capacity-requests-case.js';
import {CapacitySlopesCase} from './capacity-slopes-case.js';
import {DecisionsCostCase} from './decisions-cost-case.js';
import {DecisionsMeasureCase} from './decisions-measure-case.js';
import {ConfigurationInForceCase} from './configuration-in-force-case.js';
import {ControlCostCase} from './control-cost-case.js';
import {DemoCase} from './demo-case.js';
import {LeavingEndpointCase} from './leaving-endpoint-case.js';
import {
  REPLACEMENT_PLANS,
  ReplacedDataCenterCase,
} from './replaced-data-center-case.js';
import {RetryStormCase} from './retry-storm-case.js';
import {RollingReplacementCase} from './rolling-replacement-case.js';
import {KillRouterCase} from './kill-router-case.js';
import {PartitionCase} from './partition-case.js';
import {PauseHolderCase} from './pause-holder-case.js';
import {PlatformOutageCase} from './platform-outage-case.js';
import {TwoHostsKilledCase} from './two-hosts-killed-case.js';

/** All cases of the runner, in the order of `--list`. */
export const CASES: readonly MeasureCase[] = [
  new BudgetReserveCase(),
  new ConfigurationInForceCase(),
  new ControlCostCase(),
  new DemoCase(),
  new CapacitySlopesCase(),
  new CapacityRequestsCase(),
  new KillRouterCase(),
  new PartitionCase(),
  new PauseHolderCase(),
  new PlatformOutageCase(),
  new TwoHostsKilledCase(),
  new DecisionsCostCase(),
  ...DECISIONS_CASES.map(each => new DecisionsMeasureCase(each)),
  new LeavingEndpointCase(),
  ...REPLACEMENT_PLANS.map(plan => new ReplacedDataCenterCase(plan)),
  new RetryStormCase(),
  new RollingReplacementCase(),
];
