import {
  PublicationOutcome,
  publishConfiguration,
  type PublicationResult,
} from '@wisteriadeal/operator';
import {SystemClock} from '@wisteriadeal/runtime';
import type {Configuration} from '@wisteriadeal/schema';
import {randomUUID} from 'node:crypto';

import type {Fleet} from './fleet.js';

/** Name under which the runner publishes. */
const OPERATOR = 'runner';

/**
 * Publishes a configuration over a version, as an operator does.
 *
 * @returns What the fold decided.
 */
export function tryPublish(
  fleet: Fleet,
  configuration: Configuration,
  baseVersion: number,
): Promise<PublicationResult> {
  return publishConfiguration(fleet.log, new SystemClock(), {
    configuration,
    publicationId: randomUUID(),
    baseVersion,
    operator: OPERATOR,
    ledgerStreams: fleet.plan.ledgerStreams,
  });
}

/**
 * Publishes a configuration that must be accepted.
 *
 * @throws Error where the fold did not accept it.
 */
export async function publish(
  fleet: Fleet,
  configuration: Configuration,
  baseVersion: number,
): Promise<void> {
  const result = await tryPublish(fleet, configuration, baseVersion);
  if (result.outcome !== PublicationOutcome.Accepted) {
    throw new Error(`the configuration is ${result.outcome}: ${result.reason}`);
  }
}
