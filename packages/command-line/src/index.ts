/**
 * Command-line tool for operators: publishes configurations, tops up budgets
 * and inspects the fleet.
 */
import {BudgetExplain} from './commands/budget-explain.js';
import {BudgetRelease} from './commands/budget-release.js';
import {Check} from './commands/check.js';
import {Dump} from './commands/dump.js';
import {FleetStatus} from './commands/fleet-status.js';
import {Follow} from './commands/follow.js';
import {Publish} from './commands/publish.js';
import {RequestExplain} from './commands/request-explain.js';
import {RequestSummary} from './commands/request-summary.js';
import {Review} from './commands/review.js';
import {Schema} from './commands/schema.js';
import {TopUp} from './commands/top-up.js';

/** The command classes by command name; oclif loads this map. */
export const COMMANDS = {
  check: Check,
  review: Review,
  publish: Publish,
  'top-up': TopUp,
  'budget:explain': BudgetExplain,
  'budget:release': BudgetRelease,
  'request:explain': RequestExplain,
  'request:summary': RequestSummary,
  'fleet:status': FleetStatus,
  dump: Dump,
  follow: Follow,
  schema: Schema,
};
