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

/** One item together with what it refers to. */
export interface Line<Name extends ListName> {
  readonly list: Name;
  readonly item: Configuration[Name][number];
  readonly limits: Limits;
  readonly services?: readonly ServiceReference[];
  readonly models?: readonly string[];
}

/**
 * Checks items one by one by the rules of the fold, which is the only judge of a
 * configuration. Each item is validated alone with stubs of what it refers to:
 * validating the whole after each line would grow with the square of a fleet's
 * thousands of endpoints. Uniqueness, which needs the others, is kept here.
 */
export class LineCheck {
  private readonly names = new Set<string>();
  private readonly credentials = new Map<string, string>();

  /**
   * Checks an item and remembers its name.
   *
   * @param index The item's position in the whole configuration.
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
   * Refuses a credential that was given to another caller: it could not say
   * whose request it comes with.
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

  /** Whether an item of that name passed its check. */
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
