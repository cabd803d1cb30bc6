import {create, toBinary} from '@bufbuild/protobuf';
import {
  validateConfiguration,
  type ConfigurationFold,
} from '@wisteriadeal/ledger';
import {
  Fate,
  StepError,
  type Clock,
  type LogClient,
} from '@wisteriadeal/platform';
import {
  ConfigurationRecordSchema,
  type Configuration,
  type PublicationVerdict,
} from '@wisteriadeal/schema';

import {
  appendUntilDecided,
  DEFAULT_PATIENCE,
  type AppendPatience,
} from './confirmed-append.js';
import {formatPath} from './configuration-problem.js';
import {configurationReader, CONFIGURATION_STREAM} from './fold-sources.js';
import {creditOpeningBudgets} from './opening-budgets.js';

/** A configuration that an operator publishes. */
export interface PublicationRequest {
  readonly configuration: Configuration;
  /**
   * Generated once by the operator. A repeat with the same identifier doesn't
   * publish the configuration twice.
   */
  readonly publicationId: string;
  /**
   * The version in force that the configuration is based on. The publication is
   * rejected if another version is in force.
   */
  readonly baseVersion: number;
  readonly operator: string;
  /** Number of ledger streams of the fleet. */
  readonly ledgerStreams: number;
  readonly patience?: AppendPatience;
}

/** The fold's decision on a publication. */
export enum PublicationOutcome {
  /** The configuration is in force as `version`. */
  Accepted = 'accepted',
  /** Another publication was accepted first; `version` is in force. */
  Overtaken = 'overtaken',
  /** The configuration is invalid. */
  Invalid = 'invalid',
}

/**
 * The verdict on a publication; every reader of the log computes the same one.
 */
export interface PublicationResult {
  readonly outcome: PublicationOutcome;
  readonly publicationId: string;
  /**
   * The version in force after the verdict; the base version if the
   * configuration was invalid and never appended.
   */
  readonly version: number;
  /** Why the publication was rejected; empty if it was accepted. */
  readonly reason: string;
  /**
   * The operator who published the version in force; empty if the fold no
   * longer keeps that verdict.
   */
  readonly operatorInForce: string;
}

function encodePublication(request: PublicationRequest): Uint8Array {
  return toBinary(
    ConfigurationRecordSchema,
    create(ConfigurationRecordSchema, {
      kind: {
        case: 'publication',
        value: {
          publicationId: request.publicationId,
          baseVersion: request.baseVersion,
          operator: request.operator,
          configuration: request.configuration,
        },
      },
    }),
  );
}

/**
 * Returns the operator who published a version; empty if the fold no longer
 * keeps that verdict.
 */
export function operatorOf(fold: ConfigurationFold, version: number): string {
  return (
    fold
      .toCheckpoint()
      .verdicts.find(verdict => verdict.accepted && verdict.version === version)
      ?.operator ?? ''
  );
}

function toResult(
  fold: ConfigurationFold,
  request: PublicationRequest,
  verdict: PublicationVerdict,
): PublicationResult {
  const isOvertaken = verdict.version !== request.baseVersion;
  const refusalOutcome = isOvertaken
    ? PublicationOutcome.Overtaken
    : PublicationOutcome.Invalid;
  return {
    outcome: verdict.accepted ? PublicationOutcome.Accepted : refusalOutcome,
    publicationId: verdict.publicationId,
    version: verdict.version,
    reason: verdict.reason,
    operatorInForce: operatorOf(fold, verdict.version),
  };
}

/**
 * Validates a configuration before it is appended.
 *
 * @returns The result for an invalid configuration; undefined if it is valid.
 */
function validateBeforeAppend(
  request: PublicationRequest,
): PublicationResult | undefined {
  const [problem] = validateConfiguration(request.configuration);
  return problem === undefined
    ? undefined
    : {
        outcome: PublicationOutcome.Invalid,
        publicationId: request.publicationId,
        version: request.baseVersion,
        reason: `${formatPath(problem.path)}: ${problem.message}`,
        operatorInForce: '',
      };
}

/**
 * Returns the organisations of the configuration in force, whose opening
 * budgets need no check of their ledger streams. Returns none for a repeated
 * publication: the first attempt may have failed after its acceptance and
 * before it credited the opening budgets.
 */
function organisationsWithOpeningBudget(
  fold: ConfigurationFold,
  publicationId: string,
): ReadonlySet<string> {
  return fold.verdict(publicationId) === undefined
    ? new Set(fold.configuration?.organisations.map(({name}) => name))
    : new Set();
}

/**
 * Publishes a configuration and reads the verdict back. If several operators
 * publish from the same base version, the first in log order is accepted; the
 * others get the outcome Overtaken with the name of its operator, and nothing
 * of theirs is applied. Opening budgets of organisations that an accepted
 * configuration adds are credited before this returns.
 *
 * @throws StepError if the log can't be read or appended to. With fate Unknown,
 *     the record may be stored in the log but its verdict could not be read:
 *     repeat with the same `publicationId`.
 * @example
 * ```ts
 * const {version} = await readConfiguration(log);
 * const result = await publishConfiguration(log, clock, {
 *   configuration: fleet.build(), publicationId: randomUUID(),
 *   baseVersion: version, operator: 'aline', ledgerStreams: 8,
 * });
 * ```
 */
export async function publishConfiguration(
  log: LogClient,
  clock: Clock,
  request: PublicationRequest,
): Promise<PublicationResult> {
  const invalid = validateBeforeAppend(request);
  if (invalid !== undefined) {
    return invalid;
  }
  const patience = request.patience ?? DEFAULT_PATIENCE;
  const reader = configurationReader(log);
  const {publicationId} = request;
  const alreadyCredited = organisationsWithOpeningBudget(
    await reader.readToEnd(),
    publicationId,
  );
  await appendUntilDecided({
    log,
    clock,
    reader,
    payload: encodePublication(request),
    patience,
    isDecided: fold => fold.verdict(publicationId) !== undefined,
  });
  const verdict = reader.fold.verdict(publicationId);
  if (verdict === undefined) {
    throw new StepError(
      'read the publication verdict',
      CONFIGURATION_STREAM,
      Fate.Unknown,
      `the fold no longer keeps the verdict on publication ${publicationId}`,
    );
  }
  if (verdict.accepted) {
    await creditOpeningBudgets(log, clock, {
      operator: request.operator,
      ledgerStreams: request.ledgerStreams,
      organisations: request.configuration.organisations.filter(
        organisation => !alreadyCredited.has(organisation.name),
      ),
      patience,
    });
  }
  return toResult(reader.fold, request, verdict);
}

/**
 * Reads the configuration in force and its version.
 *
 * @throws StepError if the log can't be read, or if its first records have
 *     expired and it has no checkpoint.
 * @example
 * ```ts
 * const {version, configuration} = await readConfiguration(log);
 * ```
 */
export function readConfiguration(log: LogClient): Promise<ConfigurationFold> {
  return configurationReader(log).readToEnd();
}
