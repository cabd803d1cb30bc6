import {FindingSeverity, type ReviewFinding} from './review-finding.js';
import type {ReviewedFleet, ReviewedRoute} from './reviewed-fleet.js';

type Contradiction = Pick<ReviewFinding, 'severity' | 'found' | 'expected'> & {
  readonly field: string;
};

function contradictionsOf(route: ReviewedRoute): Contradiction[] {
  const {timeoutMilliseconds, goalMilliseconds, pauseGoalMilliseconds} = route;
  const contradictions: Contradiction[] = [];
  if (goalMilliseconds > timeoutMilliseconds) {
    contradictions.push({
      severity: FindingSeverity.Error,
      field: 'timeoutMilliseconds',
      found: `${timeoutMilliseconds} ms`,
      expected: `at least the objective, ${goalMilliseconds} ms`,
    });
  }
  if (pauseGoalMilliseconds > timeoutMilliseconds) {
    contradictions.push({
      severity: FindingSeverity.Error,
      field: 'pauseGoalMilliseconds',
      found: `${pauseGoalMilliseconds} ms`,
      expected: `at most the time limit, ${timeoutMilliseconds} ms`,
    });
  }
  if (pauseGoalMilliseconds > 0 && !route.isStreaming) {
    contradictions.push({
      severity: FindingSeverity.Warning,
      field: 'pauseGoalMilliseconds',
      found: `${pauseGoalMilliseconds} ms at a route without streams`,
      expected: 'no pause goal, or the kind for streams',
    });
  }
  if (route.resumable && !route.isStreaming) {
    contradictions.push({
      severity: FindingSeverity.Warning,
      field: 'resumable',
      found: 'true at a route without streams',
      expected: 'false, or the kind for streams',
    });
  }
  return contradictions;
}

/** Finds limits that contradict each other, and budgets that allow nothing. */
export function limitFindings({
  routes,
  organisations,
}: ReviewedFleet): ReviewFinding[] {
  return [
    ...routes.flatMap(route =>
      contradictionsOf(route).map(({field, ...finding}) => ({
        entry: `route ${route.name}`,
        path: ['routes', route.position, field],
        ...finding,
      })),
    ),
    ...organisations
      .filter(({prepaid}) => prepaid === 0)
      .map(({name, position}) => ({
        severity: FindingSeverity.Warning,
        entry: `organisation ${name}`,
        path: ['organisations', position, 'prepaid'],
        found: '0 tokens',
        expected: 'a budget of at least one request',
      })),
  ];
}
