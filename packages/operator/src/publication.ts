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

/** A configuration that an operator wants in force. */
export interface PublicationRequest {
  readonly configuration: Configuration;
  /** Minted once by the operator; a repeat with it publishes nothing twice. */
  readonly publicationId: string;
  /** The version that the operator saw when deciding. */
  readonly baseVersion: number;
  readonly operator: string;
  /** Number of ledger streams of the fleet. */
  readonly ledgerStreams: number;
  readonly patience?: AppendPatience;
}

/** What the fold decided. */
export enum PublicationOutcome {
  /** In force as `version`. */
  Accepted = 'accepted',
  /** Another publication came first; `version` is in force. */
  Overtaken = 'overtaken',
  /** It is not valid. */
  Invalid = 'invalid',
}

/** The verdict on a publication, as every reader of the log reaches it. */
export interface PublicationResult {
  readonly outcome: PublicationOutcome;
  readonly publicationId: string;
  /** The version in force by the verdict. */
  readonly version: number;
  readonly reason: string;
  /** Who published the version in force; known while it is remembered. */
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

/** Tells who published a version, from the verdicts that are remembered. */
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

/** Why an invalid configuration is not even appended; undefined where valid. */
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
 * Organisations whose opening budget needs no look at their ledger stream. A
 * repeated publication takes nothing for known: the first try may have been cut
 * off between its acceptance and the opening budgets.
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
 * Publishes a configuration and reads the verdict back. Of operators who race
 * from the same base version, the first in log order wins and the others are
 * told who did; nothing of theirs is applied. Opening budgets of organisations
 * in an accepted configuration are credited before this returns.
 *
 * @throws StepError with fate Unknown where the record may stand on the log and
 *     its verdict could not be read: repeat with the same `publicationId`.
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
      'read the verdict',
      CONFIGURATION_STREAM,
      Fate.Unknown,
      `the verdict on ${publicationId} is no longer remembered`,
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
 * Reads the configuration in force.
 *
 * @throws StepError when the log can't be read.
 * @example
 * ```ts
 * const {version, configuration} = await readConfiguration(log);
 * ```
 */
export function readConfiguration(log: LogClient): Promise<ConfigurationFold> {
  return configurationReader(log).readToEnd();
}
