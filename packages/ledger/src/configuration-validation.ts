import {
  BudgetPreference,
  EndpointState,
  ServiceKind,
  type Configuration,
} from '@wisteriadeal/schema';

import {
  ConfigurationProblemKind,
  isSocketAddress,
  ConfigurationProblemCollector,
  type ConfigurationProblem,
} from './configuration-problem.js';

/** The newest schema revision that this code can apply. */
export const SUPPORTED_SCHEMA_REVISION = 1;

const SHA256_PATTERN = /^[0-9a-f]{64}$/;
const HTTP_METHODS: readonly string[] = ['GET', 'POST', 'PUT', 'DELETE'];

function checkOrganisations(
  collector: ConfigurationProblemCollector,
  configuration: Configuration,
  services: ReadonlySet<string>,
): void {
  collector.checkUniqueNames('organisations', configuration.organisations);
  const credentials = new Map<string, string>();
  configuration.organisations.forEach((organisation, index) => {
    const path = ['organisations', index];
    collector.checkTokenAmount(
      [...path, 'openingBudgetTokens'],
      organisation.openingBudgetTokens,
    );
    collector.checkPositive([...path, 'weight'], organisation.weight);
    collector.addUnless(
      organisation.budgetPreference !== BudgetPreference.UNSPECIFIED &&
        organisation.budgetPreference in BudgetPreference,
      ConfigurationProblemKind.OutOfRange,
      [...path, 'budgetPreference'],
      'expected one of the budget preferences',
    );
    organisation.services.forEach((service, serviceIndex) => {
      collector.checkReference(
        services,
        [...path, 'services', serviceIndex],
        service,
      );
    });
    organisation.callers.forEach((caller, callerIndex) => {
      const callerPath = [...path, 'callers', callerIndex];
      collector.checkName([...callerPath, 'name'], caller.name);
      const digest = caller.credentialSha256;
      collector.addUnless(
        SHA256_PATTERN.test(digest),
        ConfigurationProblemKind.Malformed,
        [...callerPath, 'credentialSha256'],
        'expected 64 lower-case hexadecimal digits',
      );
      // A credential shared by two organisations would give one of them access
      // to the requests of the other.
      const owner = credentials.get(digest);
      collector.addUnless(
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
  collector: ConfigurationProblemCollector,
  configuration: Configuration,
  models: ReadonlySet<string>,
): void {
  configuration.services.forEach((service, index) => {
    const path = ['services', index];
    collector.addUnless(
      service.kind === ServiceKind.MODEL || service.kind === ServiceKind.PLAIN,
      ConfigurationProblemKind.OutOfRange,
      [...path, 'kind'],
      'expected one of the kinds of services',
    );
    service.models.forEach((model, modelIndex) => {
      collector.checkReference(models, [...path, 'models', modelIndex], model);
    });
    const calls = new Set<string>();
    service.calls.forEach((call, callIndex) => {
      const callPath = [...path, 'calls', callIndex];
      collector.checkName([...callPath, 'name'], call.name);
      collector.addUnless(
        !calls.has(call.name),
        ConfigurationProblemKind.DuplicateName,
        [...callPath, 'name'],
        `the name ${call.name} is used twice`,
      );
      calls.add(call.name);
      collector.addUnless(
        HTTP_METHODS.includes(call.method),
        ConfigurationProblemKind.OutOfRange,
        [...callPath, 'method'],
        `expected one of ${HTTP_METHODS.join(', ')}`,
      );
      collector.addUnless(
        call.path.startsWith('/'),
        ConfigurationProblemKind.Malformed,
        [...callPath, 'path'],
        'expected a path that starts with a slash',
      );
      collector.addUnless(
        call.outcomePath === '' || call.outcomePath.startsWith('/'),
        ConfigurationProblemKind.Malformed,
        [...callPath, 'outcomePath'],
        'expected a path that starts with a slash, or nothing',
      );
      collector.checkTokenAmount([...callPath, 'tokens'], call.tokens);
    });
  });
}

function checkEndpoints(
  collector: ConfigurationProblemCollector,
  configuration: Configuration,
  services: ReadonlySet<string>,
): void {
  collector.checkUniqueNames('endpoints', configuration.endpoints);
  configuration.endpoints.forEach((endpoint, index) => {
    const path = ['endpoints', index];
    collector.checkReference(services, [...path, 'service'], endpoint.service);
    collector.checkName([...path, 'dataCenter'], endpoint.dataCenter);
    collector.addUnless(
      isSocketAddress(endpoint.address),
      ConfigurationProblemKind.Malformed,
      [...path, 'address'],
      'expected IP:port',
    );
    collector.addUnless(
      endpoint.state === EndpointState.ACTIVE ||
        endpoint.state === EndpointState.LEAVING,
      ConfigurationProblemKind.OutOfRange,
      [...path, 'state'],
      'expected one of the states of endpoints',
    );
    collector.checkPositive([...path, 'slots'], endpoint.slots);
  });
}

function checkModels(
  collector: ConfigurationProblemCollector,
  configuration: Configuration,
): void {
  configuration.models.forEach((model, index) => {
    const path = ['models', index];
    collector.checkPositive(
      [...path, 'maximumOutputTokens'],
      model.maximumOutputTokens,
    );
    collector.addUnless(
      model.defaultOutputTokens > 0 &&
        model.defaultOutputTokens <= model.maximumOutputTokens,
      ConfigurationProblemKind.OutOfRange,
      [...path, 'defaultOutputTokens'],
      'expected a number above 0, at most maximumOutputTokens',
    );
    collector.checkPositive(
      [...path, 'minimumBytesPerPromptToken'],
      model.minimumBytesPerPromptToken,
    );
  });
}

function checkLimits(
  collector: ConfigurationProblemCollector,
  configuration: Configuration,
): void {
  const {limits} = configuration;
  if (limits === undefined) {
    collector.addUnless(
      false,
      ConfigurationProblemKind.Malformed,
      ['limits'],
      'expected limits',
    );
    return;
  }
  const positiveLimits = [
    ['maximumBodyBytes', limits.maximumBodyBytes],
    [
      'requestReceiveTimeoutMilliseconds',
      limits.requestReceiveTimeoutMilliseconds,
    ],
    ['interactiveDeadlineMilliseconds', limits.interactiveDeadlineMilliseconds],
    ['batchDeadlineMilliseconds', limits.batchDeadlineMilliseconds],
    ['keptAnswerMilliseconds', limits.keptAnswerMilliseconds],
  ] as const;
  for (const [name, value] of positiveLimits) {
    collector.checkPositive(['limits', name], value);
  }
}

/**
 * Validates a configuration. Every reader of the log runs this on every
 * publication as part of the fold, so it must be deterministic. A change of its
 * rules needs a new schema revision, so that an older binary refuses the whole
 * configuration instead of applying part of it.
 *
 * @returns All problems found; empty if the configuration is valid.
 * @example
 * ```ts
 * const problems = validateConfiguration(configuration);
 * ```
 */
export function validateConfiguration(
  configuration: Configuration,
): readonly ConfigurationProblem[] {
  const collector = new ConfigurationProblemCollector();
  collector.addUnless(
    configuration.schemaRevision <= SUPPORTED_SCHEMA_REVISION,
    ConfigurationProblemKind.UnsupportedRevision,
    ['schemaRevision'],
    `this process knows revision ${SUPPORTED_SCHEMA_REVISION}; update it first`,
  );
  const models = collector.checkUniqueNames('models', configuration.models);
  const services = collector.checkUniqueNames(
    'services',
    configuration.services,
  );
  checkOrganisations(collector, configuration, services);
  checkServices(collector, configuration, models);
  checkEndpoints(collector, configuration, services);
  checkModels(collector, configuration);
  checkLimits(collector, configuration);
  return collector.problems;
}
