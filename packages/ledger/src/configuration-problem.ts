import {isIP} from 'node:net';

import {isTokenAmount} from './tokens.js';

/** What is wrong with a value. */
export enum ConfigurationProblemKind {
  DuplicateName = 'duplicate-name',
  UnknownReference = 'unknown-reference',
  OutOfRange = 'out-of-range',
  Malformed = 'malformed',
  UnsupportedRevision = 'unsupported-revision',
}

/** One thing wrong with a configuration. */
export interface ConfigurationProblem {
  readonly kind: ConfigurationProblemKind;
  /** Path from the root, in the schema's JSON names. */
  readonly path: readonly (string | number)[];
  readonly message: string;
}

type Path = readonly (string | number)[];

const MAXIMUM_PORT = 65_535;
const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/;

/** Whether a text is `IP:port`. */
export function isAddress(address: string): boolean {
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

/** Collects problems while a configuration is walked. */
export class ProblemCollector {
  readonly problems: ConfigurationProblem[] = [];

  /** Notes a problem unless the condition holds. */
  expect(
    condition: boolean,
    kind: ConfigurationProblemKind,
    path: Path,
    message: string,
  ): void {
    if (!condition) {
      this.problems.push({kind, path, message});
    }
  }

  /** Names of a list, which must be well formed and unique. */
  names(list: string, items: readonly {readonly name: string}[]): Set<string> {
    const seen = new Set<string>();
    items.forEach((item, index) => {
      this.name([list, index, 'name'], item.name);
      this.expect(
        !seen.has(item.name),
        ConfigurationProblemKind.DuplicateName,
        [list, index, 'name'],
        `the name ${item.name} is used twice`,
      );
      seen.add(item.name);
    });
    return seen;
  }

  /** A well-formed name. */
  name(path: Path, name: string): void {
    this.expect(
      NAME_PATTERN.test(name),
      ConfigurationProblemKind.Malformed,
      path,
      'expected 1 to 128 letters, digits, dots, hyphens or underscores',
    );
  }

  /** A name that something has. */
  reference(known: ReadonlySet<string>, path: Path, name: string): void {
    this.expect(
      known.has(name),
      ConfigurationProblemKind.UnknownReference,
      path,
      `nothing is named ${name}`,
    );
  }

  /** An amount of tokens. */
  tokens(path: Path, value: number): void {
    this.expect(
      isTokenAmount(value),
      ConfigurationProblemKind.OutOfRange,
      path,
      'expected a whole number of tokens from 0 to 2^53 - 1',
    );
  }

  /** A number above 0. */
  positive(path: Path, value: number): void {
    this.expect(
      Number.isFinite(value) && value > 0,
      ConfigurationProblemKind.OutOfRange,
      path,
      'expected a number above 0',
    );
  }
}
