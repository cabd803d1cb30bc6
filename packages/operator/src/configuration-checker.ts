import {
  BudgetPreference,
  EndpointState,
  ServiceKind,
  type Caller,
  type Configuration,
  type Endpoint,
  type Model,
  type Organisation,
  type Service,
} from '@wisteriadeal/schema';

import type {ConfigurationProblem, Path} from './configuration-problem.js';
import {
  checkCall,
  checkCaller,
  checkKnown,
  checkLimits,
  checkUnused,
} from './part-checks.js';
import {checkText, checkTokens, checkWhole, PATTERNS} from './value-checks.js';

/**
 * Checks the parts of a configuration one after the other, in the order models,
 * services, endpoints, organisations. It remembers the names, so that a part
 * costs the same however many came before: a fleet has thousands of endpoints.
 */
export class ConfigurationChecker {
  private readonly models = new Set<string>();
  private readonly services = new Set<string>();
  private readonly endpointNames = new Set<string>();
  private readonly organisationNames = new Set<string>();
  private readonly credentials = new Map<string, string>();

  /** Checks one model and remembers it. */
  model(model: Model, path: Path): readonly ConfigurationProblem[] {
    return [
      ...checkText(model.name, PATTERNS.name, [...path, 'name']),
      ...checkUnused(this.models, model.name, [...path, 'name']),
      ...checkWhole(model.maximumOutputTokens, 1, [
        ...path,
        'maximumOutputTokens',
      ]),
      ...checkWhole(
        model.defaultOutputTokens,
        1,
        [...path, 'defaultOutputTokens'],
        model.maximumOutputTokens,
      ),
      ...(model.minimumBytesPerPromptToken >= 1
        ? []
        : [
            {
              path: [...path, 'minimumBytesPerPromptToken'],
              expected: 'a number of at least 1',
            },
          ]),
    ];
  }

  /** Checks one service and remembers it. */
  service(service: Service, path: Path): readonly ConfigurationProblem[] {
    return [
      ...checkText(service.name, PATTERNS.name, [...path, 'name']),
      ...checkUnused(this.services, service.name, [...path, 'name']),
      ...this.offers(service, path),
    ];
  }

  private offers(service: Service, path: Path): ConfigurationProblem[] {
    switch (service.kind) {
      case ServiceKind.MODEL:
        return service.models.length === 0
          ? [{path: [...path, 'models'], expected: 'at least one model'}]
          : service.models.flatMap((model, index) =>
              checkKnown(this.models, model, 'model', [
                ...path,
                'models',
                index,
              ]),
            );
      case ServiceKind.PLAIN: {
        const names = new Set<string>();
        return service.calls.length === 0
          ? [{path: [...path, 'calls'], expected: 'at least one call'}]
          : service.calls.flatMap((call, index) => [
              ...checkCall(call, [...path, 'calls', index]),
              ...checkUnused(names, call.name, [
                ...path,
                'calls',
                index,
                'name',
              ]),
            ]);
      }
      default:
        return [
          {
            path: [...path, 'kind'],
            expected: 'SERVICE_KIND_MODEL or SERVICE_KIND_PLAIN',
          },
        ];
    }
  }

  /** Checks one endpoint and remembers it. */
  endpoint(endpoint: Endpoint, path: Path): readonly ConfigurationProblem[] {
    return [
      ...checkText(endpoint.name, PATTERNS.name, [...path, 'name']),
      ...checkUnused(this.endpointNames, endpoint.name, [...path, 'name']),
      ...checkKnown(this.services, endpoint.service, 'service', [
        ...path,
        'service',
      ]),
      ...checkText(endpoint.dataCenter, PATTERNS.name, [...path, 'dataCenter']),
      ...checkText(endpoint.address, PATTERNS.address, [...path, 'address']),
      ...(endpoint.state === EndpointState.UNSPECIFIED
        ? [
            {
              path: [...path, 'state'],
              expected: 'ENDPOINT_STATE_ACTIVE or ENDPOINT_STATE_LEAVING',
            },
          ]
        : []),
      ...checkWhole(endpoint.slots, 1, [...path, 'slots']),
    ];
  }

  /** Checks one organisation and remembers it. */
  organisation(
    organisation: Organisation,
    path: Path,
  ): readonly ConfigurationProblem[] {
    return [
      ...checkText(organisation.name, PATTERNS.name, [...path, 'name']),
      ...checkUnused(this.organisationNames, organisation.name, [
        ...path,
        'name',
      ]),
      ...organisation.callers.flatMap((caller, index) => [
        ...checkCaller(caller, [...path, 'callers', index]),
        ...this.credential(organisation, caller, [
          ...path,
          'callers',
          index,
          'credentialSha256',
        ]),
      ]),
      ...organisation.services.flatMap((service, index) =>
        checkKnown(this.services, service, 'service', [
          ...path,
          'services',
          index,
        ]),
      ),
      ...checkTokens(organisation.openingBudgetTokens, [
        ...path,
        'openingBudgetTokens',
      ]),
      ...(organisation.weight > 0 && Number.isFinite(organisation.weight)
        ? []
        : [{path: [...path, 'weight'], expected: 'a number above 0'}]),
      ...(organisation.budgetPreference === BudgetPreference.UNSPECIFIED
        ? [
            {
              path: [...path, 'budgetPreference'],
              expected:
                'BUDGET_PREFERENCE_AVOID_REFUSALS or BUDGET_PREFERENCE_AVOID_UNCLEAR_BILLS',
            },
          ]
        : []),
    ];
  }

  /**
   * A credential that two callers share can't say whose request it is: one
   * organisation would spend and see what is another's.
   */
  private credential(
    organisation: Organisation,
    caller: Caller,
    path: Path,
  ): ConfigurationProblem[] {
    const owner = this.credentials.get(caller.credentialSha256);
    if (owner !== undefined) {
      return [
        {path, expected: `a credential of its own, not that of ${owner}`},
      ];
    }
    this.credentials.set(
      caller.credentialSha256,
      `${organisation.name}/${caller.name}`,
    );
    return [];
  }
}

/**
 * Checks a whole configuration.
 *
 * @returns Every problem; empty where it may be published.
 * @example
 * ```ts
 * const problems = checkConfiguration(configuration);
 * ```
 */
export function checkConfiguration(
  configuration: Configuration,
): readonly ConfigurationProblem[] {
  const checker = new ConfigurationChecker();
  return [
    ...(configuration.schemaRevision >= 1
      ? []
      : [{path: ['schemaRevision'], expected: 'a whole number from 1 on'}]),
    ...checkLimits(configuration.limits),
    ...configuration.models.flatMap((model, index) =>
      checker.model(model, ['models', index]),
    ),
    ...configuration.services.flatMap((service, index) =>
      checker.service(service, ['services', index]),
    ),
    ...configuration.endpoints.flatMap((endpoint, index) =>
      checker.endpoint(endpoint, ['endpoints', index]),
    ),
    ...configuration.organisations.flatMap((organisation, index) =>
      checker.organisation(organisation, ['organisations', index]),
    ),
  ];
}
