import {create, toJsonString} from '@bufbuild/protobuf';
import {
  BudgetPreference,
  ConfigurationSchema,
  EndpointSchema,
  EndpointState,
  LimitsSchema,
  ModelSchema,
  OrganisationSchema,
  ServiceKind,
  ServiceSchema,
  type Configuration,
  type Limits,
} from '@wisteriadeal/schema';

import {ConfigurationChecker} from './configuration-checker.js';
import {ConfigurationError, type StackBase} from './configuration-error.js';
import type {ConfigurationProblem, Path} from './configuration-problem.js';
import {checkLimits} from './part-checks.js';
import {hashCredential} from './credential.js';
import type {
  CallerOptions,
  EndpointOptions,
  LimitOptions,
  ModelServiceOptions,
  OrganisationOptions,
  PlainServiceOptions,
  ServiceReference,
} from './configuration-options.js';

/** The schema revision that this library writes. */
export const SCHEMA_REVISION = 1;

const DEFAULT_LIMITS: Readonly<Required<LimitOptions>> = {
  maximumBodyBytes: 1_048_576,
  requestReceiveTimeoutMilliseconds: 10_000,
  interactiveDeadlineMilliseconds: 10_000,
  batchDeadlineMilliseconds: 120_000,
  keptAnswerMilliseconds: 600_000,
};

const DEFAULT_OUTPUT_TOKENS = 256;
const MINIMUM_SECRET_LENGTH = 16;

/** The public methods whose call site an error names. */
type BuilderMethod =
  'limits' | 'modelService' | 'plainService' | 'endpoint' | 'organisation';

function throwFirst(
  problems: readonly ConfigurationProblem[],
  subject: string,
  method: BuilderMethod,
): void {
  const [first] = problems;
  if (first !== undefined) {
    // The method itself, and not a bound copy, is what a stack trace knows.
    const calledMethod: StackBase = Reflect.get(
      ConfigurationBuilder.prototype,
      method,
    );
    throw new ConfigurationError(first, subject, calledMethod);
  }
}

/**
 * The hash stands in a configuration that many read: a short secret could be
 * found by hashing guesses.
 */
function checkSecrets(
  callers: readonly CallerOptions[],
  path: Path,
): ConfigurationProblem[] {
  return callers.flatMap((caller, index) =>
    'secret' in caller && caller.secret.length < MINIMUM_SECRET_LENGTH
      ? [
          {
            path: [...path, 'callers', index, 'secret'],
            expected: `a secret of at least ${MINIMUM_SECRET_LENGTH} characters, such as mintCredential() makes`,
          },
        ]
      : [],
  );
}

function credentialHash(caller: CallerOptions): string {
  return 'secret' in caller
    ? hashCredential(caller.secret)
    : caller.credentialSha256;
}

/**
 * Builds a configuration line by line. Every line is checked when it runs, so a
 * mistake throws there.
 *
 * @example
 * ```ts
 * const fleet = new ConfigurationBuilder();
 * const tutor = fleet.modelService('tutor-models', {
 *   models: [{name: 'tutor-7b', maximumOutputTokens: 1_024}],
 * });
 * fleet.endpoint('tutor-1', {
 *   service: tutor, dataCenter: 'kigali-1', address: '10.0.0.7:8000', slots: 8,
 * });
 * fleet.organisation('kigali-bar-school', {
 *   openingBudgetTokens: 1_000_000,
 *   callers: [{name: 'trainee-app', secret: process.env.TRAINEE_SECRET ?? ''}],
 *   services: [tutor],
 *   budgetPreference: BudgetPreference.AVOID_REFUSALS,
 * });
 * fleet.print();
 * ```
 */
export class ConfigurationBuilder {
  private readonly checker = new ConfigurationChecker();
  private readonly configuration: Configuration & {limits: Limits} =
    Object.assign(
      create(ConfigurationSchema, {schemaRevision: SCHEMA_REVISION}),
      {limits: create(LimitsSchema, DEFAULT_LIMITS)},
    );

  /**
   * Sets limits; what is left out keeps its default.
   *
   * @throws ConfigurationError
   */
  limits(options: LimitOptions): void {
    const limits = create(LimitsSchema, {
      ...this.configuration.limits,
      ...options,
    });
    throwFirst(checkLimits(limits), 'limits', 'limits');
    this.configuration.limits = limits;
  }

  /**
   * Defines a service of model engines, and its models.
   *
   * @throws ConfigurationError
   */
  modelService(name: string, options: ModelServiceOptions): ServiceReference {
    const subject = `model service "${name}"`;
    for (const model of options.models) {
      const message = create(ModelSchema, {
        defaultOutputTokens: Math.min(
          DEFAULT_OUTPUT_TOKENS,
          model.maximumOutputTokens,
        ),
        minimumBytesPerPromptToken: 1,
        ...model,
      });
      const path = ['models', this.configuration.models.length];
      throwFirst(
        this.checker.model(message, path),
        `${subject}, model "${model.name}"`,
        'modelService',
      );
      this.configuration.models.push(message);
    }
    return this.service(
      subject,
      create(ServiceSchema, {
        name,
        kind: ServiceKind.MODEL,
        models: options.models.map(model => model.name),
      }),
      'modelService',
    );
  }

  /**
   * Defines a plain service and the calls it offers.
   *
   * @throws ConfigurationError
   */
  plainService(name: string, options: PlainServiceOptions): ServiceReference {
    return this.service(
      `plain service "${name}"`,
      create(ServiceSchema, {
        name,
        kind: ServiceKind.PLAIN,
        calls: options.calls.map(call => ({...call})),
      }),
      'plainService',
    );
  }

  private service(
    subject: string,
    message: Configuration['services'][number],
    method: BuilderMethod,
  ): ServiceReference {
    const path = ['services', this.configuration.services.length];
    throwFirst(this.checker.service(message, path), subject, method);
    this.configuration.services.push(message);
    return {name: message.name};
  }

  /**
   * Defines an endpoint of a service.
   *
   * @throws ConfigurationError
   */
  endpoint(name: string, options: EndpointOptions): void {
    const message = create(EndpointSchema, {
      state: EndpointState.ACTIVE,
      checksFencingNumbers: false,
      ...options,
      name,
      service: options.service.name,
    });
    const path = ['endpoints', this.configuration.endpoints.length];
    throwFirst(
      this.checker.endpoint(message, path),
      `endpoint "${name}"`,
      'endpoint',
    );
    this.configuration.endpoints.push(message);
  }

  /**
   * Defines an organisation with its budget and callers.
   *
   * @throws ConfigurationError
   */
  organisation(name: string, options: OrganisationOptions): void {
    const message = create(OrganisationSchema, {
      name,
      openingBudgetTokens: options.openingBudgetTokens,
      weight: options.weight ?? 1,
      budgetPreference:
        options.budgetPreference ?? BudgetPreference.AVOID_UNCLEAR_BILLS,
      services: options.services.map(service => service.name),
      callers: options.callers.map(caller => ({
        name: caller.name,
        credentialSha256: credentialHash(caller),
      })),
    });
    const path = ['organisations', this.configuration.organisations.length];
    throwFirst(
      [
        ...checkSecrets(options.callers, path),
        ...this.checker.organisation(message, path),
      ],
      `organisation "${name}"`,
      'organisation',
    );
    this.configuration.organisations.push(message);
  }

  /** The configuration so far; later lines don't change it. */
  build(): Configuration {
    return structuredClone(this.configuration);
  }

  /**
   * Prints the configuration as JSON; it holds hashes and no secrets.
   *
   * @param write Takes the text; standard output by default.
   */
  print(
    write: (text: string) => void = text => process.stdout.write(text),
  ): void {
    const text = toJsonString(ConfigurationSchema, this.configuration, {
      alwaysEmitImplicit: true,
      prettySpaces: 2,
    });
    write(`${text}\n`);
  }
}
