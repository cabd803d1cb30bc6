import {create, toJsonString} from '@bufbuild/protobuf';
import {
  SUPPORTED_SCHEMA_REVISION,
  validateConfiguration,
} from '@wisteriadeal/ledger';
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
  type Organisation,
} from '@wisteriadeal/schema';

import {
  ConfigurationError,
  type ConfigurationMistake,
  type StackBase,
} from './configuration-error.js';
import type {
  CallerOptions,
  EndpointOptions,
  LimitOptions,
  ModelServiceOptions,
  OrganisationOptions,
  PlainServiceOptions,
  ServiceReference,
} from './configuration-options.js';
import type {Path} from './configuration-problem.js';
import {hashCredential} from './credential.js';
import {LineCheck, type Line, type ListName} from './line-check.js';

const DEFAULT_LIMITS: Readonly<Required<LimitOptions>> = {
  maximumBodyBytes: 1_048_576,
  requestReceiveTimeoutMilliseconds: 10_000,
  interactiveDeadlineMilliseconds: 10_000,
  batchDeadlineMilliseconds: 120_000,
  keptAnswerMilliseconds: 600_000,
};

const DEFAULT_OUTPUT_TOKENS = 256;
const MINIMUM_SECRET_LENGTH = 16;

/** The public methods whose call site `ConfigurationError.callSite` reports. */
type BuilderMethod =
  'limits' | 'modelService' | 'plainService' | 'endpoint' | 'organisation';

function throwFirstMistake(
  mistakes: readonly ConfigurationMistake[],
  subject: string,
  method: BuilderMethod,
): void {
  const [firstMistake] = mistakes;
  if (firstMistake !== undefined) {
    // Error.captureStackTrace only finds the method itself in the stack, not a
    // bound copy of it.
    const builderMethod: StackBase = Reflect.get(
      ConfigurationBuilder.prototype,
      method,
    );
    throw new ConfigurationError(firstMistake, subject, builderMethod);
  }
}

/**
 * Rejects short secrets. The configuration contains their hashes and is widely
 * readable, so a short secret could be recovered by hashing guesses.
 */
function checkSecretLengths(
  callers: readonly CallerOptions[],
  path: Path,
): readonly ConfigurationMistake[] {
  const message = `expected a secret of at least ${MINIMUM_SECRET_LENGTH} characters, such as one from mintCredential()`;
  return callers.flatMap((caller, index) =>
    'secret' in caller && caller.secret.length < MINIMUM_SECRET_LENGTH
      ? [{path: [...path, 'callers', index, 'secret'], message}]
      : [],
  );
}

function credentialHash(caller: CallerOptions): string {
  return 'secret' in caller
    ? hashCredential(caller.secret)
    : caller.credentialSha256;
}

/**
 * Builds a configuration. Each method validates what it adds, so an invalid
 * call throws at its own line in the operator's program.
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
  private readonly lineCheck = new LineCheck();
  private readonly configuration: Configuration & {limits: Limits} =
    Object.assign(
      create(ConfigurationSchema, {schemaRevision: SUPPORTED_SCHEMA_REVISION}),
      {limits: create(LimitsSchema, DEFAULT_LIMITS)},
    );

  /**
   * Sets limits. A limit that is left out keeps its value: its default, or what
   * an earlier call set.
   *
   * @throws ConfigurationError if a limit is invalid.
   */
  limits(options: LimitOptions): void {
    const limits = create(LimitsSchema, {
      ...this.configuration.limits,
      ...options,
    });
    const limitsOnly = create(ConfigurationSchema, {limits});
    throwFirstMistake(validateConfiguration(limitsOnly), 'limits', 'limits');
    this.configuration.limits = limits;
  }

  /**
   * Defines a service of model engines and its models.
   *
   * @returns A reference for `endpoint` and `organisation`.
   * @throws ConfigurationError if the service or one of its models is invalid,
   *     or if a name is already used.
   */
  modelService(name: string, options: ModelServiceOptions): ServiceReference {
    const models = options.models.map(model => model.name);
    for (const model of options.models) {
      const item = create(ModelSchema, {
        defaultOutputTokens: Math.min(
          DEFAULT_OUTPUT_TOKENS,
          model.maximumOutputTokens,
        ),
        minimumBytesPerPromptToken: 1,
        ...model,
      });
      const subject = `model service "${name}", model "${model.name}"`;
      this.addItem({list: 'models', item}, subject, 'modelService');
    }
    const item = create(ServiceSchema, {name, kind: ServiceKind.MODEL, models});
    const subject = `model service "${name}"`;
    this.addItem({list: 'services', item, models}, subject, 'modelService');
    return {name};
  }

  /**
   * Defines a plain service and the calls it offers.
   *
   * @returns A reference for `endpoint` and `organisation`.
   * @throws ConfigurationError if the service is invalid or its name is already
   *     used.
   */
  plainService(name: string, options: PlainServiceOptions): ServiceReference {
    const item = create(ServiceSchema, {
      name,
      kind: ServiceKind.PLAIN,
      calls: options.calls.map(call => ({...call})),
    });
    const subject = `plain service "${name}"`;
    this.addItem({list: 'services', item}, subject, 'plainService');
    return {name};
  }

  /**
   * Defines an endpoint of a service.
   *
   * @throws ConfigurationError if the endpoint is invalid, its name is already
   *     used, or this builder has no such service.
   */
  endpoint(name: string, options: EndpointOptions): void {
    const item = create(EndpointSchema, {
      state: EndpointState.ACTIVE,
      checksFencingNumbers: false,
      ...options,
      name,
      service: options.service.name,
    });
    const services = this.definedServices([options.service]);
    const subject = `endpoint "${name}"`;
    this.addItem({list: 'endpoints', item, services}, subject, 'endpoint');
  }

  /**
   * Defines an organisation with its budget and callers.
   *
   * @throws ConfigurationError if the organisation is invalid, its name or a
   *     credential is already used, a secret is too short, or this builder has
   *     no such service.
   */
  organisation(name: string, options: OrganisationOptions): void {
    const subject = `organisation "${name}"`;
    const path = ['organisations', this.configuration.organisations.length];
    throwFirstMistake(
      checkSecretLengths(options.callers, path),
      subject,
      'organisation',
    );
    const item = create(OrganisationSchema, {
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
    const services = this.definedServices(options.services);
    throwFirstMistake(
      this.checkCredentialsAreUnique(item, path),
      subject,
      'organisation',
    );
    this.addItem(
      {list: 'organisations', item, services},
      subject,
      'organisation',
    );
  }

  /**
   * Drops references to services that this builder has not defined, such as
   * those of another builder.
   */
  private definedServices(
    references: readonly ServiceReference[],
  ): readonly ServiceReference[] {
    return references.filter(({name}) => this.lineCheck.has('services', name));
  }

  private checkCredentialsAreUnique(
    organisation: Organisation,
    path: Path,
  ): readonly ConfigurationMistake[] {
    return organisation.callers.flatMap((caller, index) =>
      this.lineCheck.credential(
        `${organisation.name}/${caller.name}`,
        caller.credentialSha256,
        [...path, 'callers', index, 'credentialSha256'],
      ),
    );
  }

  private addItem<Name extends ListName>(
    line: Omit<Line<Name>, 'limits'>,
    subject: string,
    method: BuilderMethod,
  ): void {
    const {limits} = this.configuration;
    const items: Configuration[Name][number][] = this.configuration[line.list];
    const mistakes = this.lineCheck.check({...line, limits}, items.length);
    throwFirstMistake(mistakes, subject, method);
    items.push(line.item);
  }

  /** Returns a copy of the configuration; later calls don't change it. */
  build(): Configuration {
    return structuredClone(this.configuration);
  }

  /**
   * Prints the configuration as JSON. It contains credential hashes, no
   * secrets.
   *
   * @param write Receives the text; writes to standard output by default.
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
