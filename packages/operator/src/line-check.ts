import {create} from '@bufbuild/protobuf';
import {
  SUPPORTED_SCHEMA_REVISION,
  validateConfiguration,
} from '@wisteriadeal/ledger';
import {
  ConfigurationSchema,
  type Configuration,
  type Limits,
} from '@wisteriadeal/schema';

import type {ConfigurationMistake} from './configuration-error.js';
import type {ServiceReference} from './configuration-options.js';

/** The lists of a configuration. */
export type ListName = 'models' | 'services' | 'endpoints' | 'organisations';

/** One configuration item and the items that it refers to. */
export interface Line<Name extends ListName> {
  readonly list: Name;
  readonly item: Configuration[Name][number];
  readonly limits: Limits;
  readonly services?: readonly ServiceReference[];
  readonly models?: readonly string[];
}

/**
 * Validates items one at a time with the rules of the fold, which alone decides
 * whether a published configuration is valid. Each item is validated alone,
 * with stubs of the items it refers to: validating the whole configuration
 * after each call would take time quadratic in the number of endpoints, which
 * is in the thousands. Uniqueness depends on earlier items and is checked here.
 */
export class LineCheck {
  private readonly names = new Set<string>();
  private readonly credentials = new Map<string, string>();

  /**
   * Validates an item and registers its name.
   *
   * @param index The item's index in its list of the whole configuration.
   * @returns The failures; empty if the item is valid.
   */
  check<Name extends ListName>(
    line: Line<Name>,
    index: number,
  ): readonly ConfigurationMistake[] {
    const isolated = create(ConfigurationSchema, {
      schemaRevision: SUPPORTED_SCHEMA_REVISION,
      limits: line.limits,
      services: (line.services ?? []).map(service => ({...service})),
      models: (line.models ?? []).map(name => ({name})),
      [line.list]: [line.item],
    });
    const problems = validateConfiguration(isolated)
      .filter(({path}) => path[0] === line.list)
      .map(({path, message}) => ({
        path: [line.list, index, ...path.slice(2)],
        message,
      }));
    return [
      ...problems,
      ...this.registerName(line.list, line.item.name, index),
    ];
  }

  /**
   * Registers a credential, or rejects it if another caller has it: a request
   * with a shared credential could not be attributed to one caller.
   *
   * @param owner Organisation and caller, such as `kigali-bar-school/app`.
   */
  credential(
    owner: string,
    credentialSha256: string,
    path: ConfigurationMistake['path'],
  ): readonly ConfigurationMistake[] {
    const existingOwner = this.credentials.get(credentialSha256);
    if (existingOwner !== undefined) {
      return [
        {
          path,
          message: `expected a credential of its own, not that of ${existingOwner}`,
        },
      ];
    }
    this.credentials.set(credentialSha256, owner);
    return [];
  }

  /** Whether `check` has registered an item of that name. */
  has(list: ListName, name: string): boolean {
    return this.names.has(`${list} ${name}`);
  }

  private registerName(
    list: ListName,
    name: string,
    index: number,
  ): readonly ConfigurationMistake[] {
    if (this.has(list, name)) {
      const message = `expected a name that is not used yet, not "${name}"`;
      return [{path: [list, index, 'name'], message}];
    }
    this.names.add(`${list} ${name}`);
    return [];
  }
}
