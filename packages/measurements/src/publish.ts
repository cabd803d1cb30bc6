import {PublicationOutcome, publishConfiguration} from '@wisteriadeal/operator';
import {SystemClock} from '@wisteriadeal/runtime';
import type {Configuration} from '@wisteriadeal/schema';
import {randomUUID} from 'node:crypto';

import type {Fleet} from './fleet.js';

/** Name under which the runner publishes. */
const OPERATOR = 'runner';

/**
 * Publishes a configuration over a version, as an operator does.
 *
 * @throws Error where the fold did not accept it.
 */
export async function publish(
  fleet: Fleet,
  configuration: Configuration,
  baseVersion: number,
): Promise<void> {
  const result = await publishConfiguration(fleet.log, new SystemClock(), {
    configuration,
    publicationId: randomUUID(),
    baseVersion,
    operator: OPERATOR,
    ledgerStreams: fleet.plan.ledgerStreams,
  });
  if (result.outcome !== PublicationOutcome.Accepted) {
    throw new Error(`the configuration is ${result.outcome}: ${result.reason}`);
  }
}
