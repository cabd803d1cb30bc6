import {isIP} from 'node:net';

import {isTokenAmount} from './tokens.js';

/** The kind of a configuration problem. */
export enum ConfigurationProblemKind {
  DuplicateName = 'duplicate-name',
  UnknownReference = 'unknown-reference',
  OutOfRange = 'out-of-range',
  Malformed = 'malformed',
  UnsupportedRevision = 'unsupported-revision',
}

/** One problem of a configuration. */
export interface ConfigurationProblem {
  readonly kind: ConfigurationProblemKind;
  /** Path of the value from the root, in the JSON names of the schema. */
  readonly path: readonly (string | number)[];
  readonly message: string;
}

type Path = readonly (string | number)[];

const MAXIMUM_PORT = 65_535;
const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/;

/** Whether a text is `IP:port`, with a port from 1 to 65,535. */
export function isSocketAddress(address: string): boolean {
  const separator = address.lastIndexOf(':');
  const host = address.slice(0, separator).replace(/^\[(.*)\]$/, '$1');
  const portText = address.slice(separator + 1);
  const port = Number(portText);
  return (
    separator > 0 &&
    isIP(host) !== 0 &&
    /^[0-9]{1,5}$/.test(portText) &&
    port >= 1 &&
    port <= MAXIMUM_PORT
  );
}

/** Collects the problems found while a configuration is validated. */
export class ConfigurationProblemCollector {
  readonly problems: ConfigurationProblem[] = [];

  /** Adds a problem unless the condition is true. */
  addUnless(
    condition: boolean,
    kind: ConfigurationProblemKind,
    path: Path,
    message: string,
  ): void {
    if (!condition) {
      this.problems.push({kind, path, message});
    }
  }

  /**
   * Checks that the names of a list are well formed and unique.
   *
   * @returns The names.
   */
  checkUniqueNames(
    list: string,
    items: readonly {readonly name: string}[],
  ): Set<string> {
    const seen = new Set<string>();
    items.forEach((item, index) => {
      this.checkName([list, index, 'name'], item.name);
      this.addUnless(
        !seen.has(item.name),
        ConfigurationProblemKind.DuplicateName,
        [list, index, 'name'],
        `the name ${item.name} is used twice`,
      );
      seen.add(item.name);
    });
    return seen;
  }

  /** Checks that a name is well formed. */
  checkName(path: Path, name: string): void {
    this.addUnless(
      NAME_PATTERN.test(name),
      ConfigurationProblemKind.Malformed,
      path,
      'expected 1 to 128 letters, digits, dots, hyphens or underscores',
    );
  }

  /** Checks that a name refers to one of the defined items. */
  checkReference(
    definedNames: ReadonlySet<string>,
    path: Path,
    name: string,
  ): void {
    this.addUnless(
      definedNames.has(name),
      ConfigurationProblemKind.UnknownReference,
      path,
      `nothing is named ${name}`,
    );
  }

  /** Checks that a value is an amount of tokens. */
  checkTokenAmount(path: Path, value: number): void {
    this.addUnless(
      isTokenAmount(value),
      ConfigurationProblemKind.OutOfRange,
      path,
      'expected a whole number of tokens from 0 to 2^53 - 1',
    );
  }

  /** Checks that a value is a finite number above 0. */
  checkPositive(path: Path, value: number): void {
    this.addUnless(
      Number.isFinite(value) && value > 0,
      ConfigurationProblemKind.OutOfRange,
      path,
      'expected a number above 0',
    );
  }
}
