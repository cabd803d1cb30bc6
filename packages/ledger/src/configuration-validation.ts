import {
  BudgetPreference,
  EndpointState,
  ServiceKind,
  type Configuration,
} from '@wisteriadeal/schema';

import {
  ConfigurationProblemKind,
  isAddress,
  ProblemCollector,
  type ConfigurationProblem,
} from './configuration-problem.js';

/** The newest schema revision that this code can apply. */
export const SUPPORTED_SCHEMA_REVISION = 1;

const SHA256_PATTERN = /^[0-9a-f]{64}$/;
const HTTP_METHODS: readonly string[] = ['GET', 'POST', 'PUT', 'DELETE'];

function checkOrganisations(
  collector: ProblemCollector,
  configuration: Configuration,
  services: ReadonlySet<string>,
): void {
  collector.names('organisations', configuration.organisations);
  const credentials = new Map<string, string>();
  configuration.organisations.forEach((organisation, index) => {
    const path = ['organisations', index];
    collector.tokens(
      [...path, 'openingBudgetTokens'],
      organisation.openingBudgetTokens,
    );
    collector.positive([...path, 'weight'], organisation.weight);
    collector.expect(
      organisation.budgetPreference !== BudgetPreference.UNSPECIFIED &&
        organisation.budgetPreference in BudgetPreference,
      ConfigurationProblemKind.OutOfRange,
      [...path, 'budgetPreference'],
      'expected one of the budget preferences',
    );
    organisation.services.forEach((service, serviceIndex) => {
      collector.reference(
        services,
        [...path, 'services', serviceIndex],
        service,
      );
    });
    organisation.callers.forEach((caller, callerIndex) => {
      const callerPath = [...path, 'callers', callerIndex];
      collector.name([...callerPath, 'name'], caller.name);
      const digest = caller.credentialSha256;
      collector.expect(
        SHA256_PATTERN.test(digest),
        ConfigurationProblemKind.Malformed,
        [...callerPath, 'credentialSha256'],
        'expected 64 lower-case hexadecimal digits',
      );
      // One credential in two organisations would show one firm another's work.
      const owner = credentials.get(digest);
      collector.expect(
        owner === undefined,
        ConfigurationProblemKind.DuplicateName,
        [...callerPath, 'credentialSha256'],
        `the credential is also one of ${owner ?? ''}`,
      );
      credentials.set(digest, organisation.name);
    });
  });
}

function checkServices(
  collector: ProblemCollector,
  configuration: Configuration,
  models: ReadonlySet<string>,
): void {
  configuration.services.forEach((service, index) => {
    const path = ['services', index];
    collector.expect(
      service.kind === ServiceKind.MODEL || service.kind === ServiceKind.PLAIN,
      ConfigurationProblemKind.OutOfRange,
      [...path, 'kind'],
      'expected one of the kinds of services',
    );
    service.models.forEach((model, modelIndex) => {
      collector.reference(models, [...path, 'models', modelIndex], model);
    });
    const calls = new Set<string>();
    service.calls.forEach((call, callIndex) => {
      const callPath = [...path, 'calls', callIndex];
      collector.name([...callPath, 'name'], call.name);
      collector.expect(
        !calls.has(call.name),
        ConfigurationProblemKind.DuplicateName,
        [...callPath, 'name'],
        `the name ${call.name} is used twice`,
      );
      calls.add(call.name);
      collector.expect(
        HTTP_METHODS.includes(call.method),
        ConfigurationProblemKind.OutOfRange,
        [...callPath, 'method'],
        `expected one of ${HTTP_METHODS.join(', ')}`,
      );
      collector.expect(
        call.path.startsWith('/'),
        ConfigurationProblemKind.Malformed,
        [...callPath, 'path'],
        'expected a path that starts with a slash',
      );
      collector.expect(
        call.outcomePath === '' || call.outcomePath.startsWith('/'),
        ConfigurationProblemKind.Malformed,
        [...callPath, 'outcomePath'],
        'expected a path that starts with a slash, or nothing',
      );
      collector.tokens([...callPath, 'tokens'], call.tokens);
    });
  });
}

function checkEndpoints(
  collector: ProblemCollector,
  configuration: Configuration,
  services: ReadonlySet<string>,
): void {
  collector.names('endpoints', configuration.endpoints);
  configuration.endpoints.forEach((endpoint, index) => {
    const path = ['endpoints', index];
    collector.reference(services, [...path, 'service'], endpoint.service);
    collector.name([...path, 'dataCenter'], endpoint.dataCenter);
    collector.expect(
      isAddress(endpoint.address),
      ConfigurationProblemKind.Malformed,
      [...path, 'address'],
      'expected IP:port',
    );
    collector.expect(
      endpoint.state === EndpointState.ACTIVE ||
        endpoint.state === EndpointState.LEAVING,
      ConfigurationProblemKind.OutOfRange,
      [...path, 'state'],
      'expected one of the states of endpoints',
    );
    collector.positive([...path, 'slots'], endpoint.slots);
  });
}

function checkModels(
  collector: ProblemCollector,
  configuration: Configuration,
): void {
  configuration.models.forEach((model, index) => {
    const path = ['models', index];
    collector.positive(
      [...path, 'maximumOutputTokens'],
      model.maximumOutputTokens,
    );
    collector.expect(
      model.defaultOutputTokens > 0 &&
        model.defaultOutputTokens <= model.maximumOutputTokens,
      ConfigurationProblemKind.OutOfRange,
      [...path, 'defaultOutputTokens'],
      'expected a number above 0, at most maximumOutputTokens',
    );
    collector.positive(
      [...path, 'minimumBytesPerPromptToken'],
      model.minimumBytesPerPromptToken,
    );
  });
}

function checkLimits(
  collector: ProblemCollector,
  configuration: Configuration,
): void {
  const {limits} = configuration;
  if (limits === undefined) {
    collector.expect(
      false,
      ConfigurationProblemKind.Malformed,
      ['limits'],
      'expected limits',
    );
    return;
  }
  const entries = [
    ['maximumBodyBytes', limits.maximumBodyBytes],
    [
      'requestReceiveTimeoutMilliseconds',
      limits.requestReceiveTimeoutMilliseconds,
    ],
    ['interactiveDeadlineMilliseconds', limits.interactiveDeadlineMilliseconds],
    ['batchDeadlineMilliseconds', limits.batchDeadlineMilliseconds],
    ['keptAnswerMilliseconds', limits.keptAnswerMilliseconds],
  ] as const;
  for (const [name, value] of entries) {
    collector.positive(['limits', name], value);
  }
}

/**
 * Checks a whole configuration. Every reader runs it on every publication, so it
 * is deterministic and part of the fold: a change of its rules needs a new
 * schema revision, so that an older binary refuses the whole and applies no half.
 *
 * @returns Every problem; empty where it is valid.
 * @example
 * ```ts
 * const problems = validateConfiguration(configuration);
 * ```
 */
export function validateConfiguration(
  configuration: Configuration,
): readonly ConfigurationProblem[] {
  const collector = new ProblemCollector();
  collector.expect(
    configuration.schemaRevision <= SUPPORTED_SCHEMA_REVISION,
    ConfigurationProblemKind.UnsupportedRevision,
    ['schemaRevision'],
    `this process knows revision ${SUPPORTED_SCHEMA_REVISION}; update it first`,
  );
  const models = collector.names('models', configuration.models);
  const services = collector.names('services', configuration.services);
  checkOrganisations(collector, configuration, services);
  checkServices(collector, configuration, models);
  checkEndpoints(collector, configuration, services);
  checkModels(collector, configuration);
  checkLimits(collector, configuration);
  return collector.problems;
}
