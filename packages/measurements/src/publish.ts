import {
  PublicationOutcome,
  publishConfiguration,
  type PublicationResult,
} from '@wisteriadeal/operator';
import {SystemClock} from '@wisteriadeal/runtime';
import type {Configuration} from '@wisteriadeal/schema';
import {randomUUID} from 'node:crypto';

import type {Fleet} from './fleet.js';

/** Operator name in the runner's publications. */
const OPERATOR = 'runner';

/**
 * Publishes a configuration as an operator does.
 *
 * @param baseVersion The version that the configuration replaces.
 * @returns The decision of the configuration fold.
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
 * @throws Error if the configuration fold doesn't accept it.
 */
export async function publish(
  fleet: Fleet,
  configuration: Configuration,
  baseVersion: number,
): Promise<void> {
  const result = await tryPublish(fleet, configuration, baseVersion);
  if (result.outcome !== PublicationOutcome.Accepted) {
    throw new Error(
      `publication of the configuration is ${result.outcome}: ${result.reason}`,
    );
  }
}
