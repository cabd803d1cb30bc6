import {
  decodeForReview,
  isGatewayConfiguration,
  pathInFile,
} from '@wisteriadeal/adapter';
import {
  configurationDifference,
  FindingSeverity,
  fleetDifference,
  publicationEffects,
  reviewFleet,
  reviewPublication,
  versionFindings,
  type ReviewedChange,
  type ReviewFinding,
} from '@wisteriadeal/operator';
import {
  ExitCode,
  formatSettingsProblem,
  parseJsonDocument,
  parseSettings,
  type JsonDocument,
} from '@wisteriadeal/runtime';
import {ConfigurationSchema, type Configuration} from '@wisteriadeal/schema';
import {readFileSync} from 'node:fs';

import {CommandError} from './command-error.js';
import {configurationProblems} from './configuration-file.js';

/** A finding with its place in the file. */
export interface LocatedFinding {
  readonly severity: FindingSeverity;
  readonly file: string;
  /** Line number, from 1. */
  readonly line: number;
  readonly entry: string;
  /** Path of the key in the file, such as `routes.0.timeout_ms`. */
  readonly field: string;
  readonly found: string;
  readonly expected: string;
}

/** Result of a review. */
export interface ConfigurationReview {
  readonly findings: readonly LocatedFinding[];
  /** Undefined if the version in force is not given. */
  readonly changes: readonly ReviewedChange[] | undefined;
}

interface ReadFile {
  readonly file: string;
  readonly text: string;
  readonly document: JsonDocument;
}

function unreadable(message: string): CommandError {
  return new CommandError(
    ExitCode.Unreadable,
    message,
    'Check the name and contents of the file, then run the same command again.',
  );
}

function messageOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}

function readJson(file: string): ReadFile {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    throw unreadable(`${file}: expected a readable file (${messageOf(error)})`);
  }
  const document = parseJsonDocument(text, file);
  if (document.err) {
    throw unreadable(document.val.map(formatSettingsProblem).join('\n'));
  }
  return {file, text, document: document.val};
}

function gatewayFields({file, text, document: {value}}: ReadFile) {
  if (!isGatewayConfiguration(value)) {
    return undefined;
  }
  try {
    JSON.parse(text);
  } catch (error) {
    throw unreadable(
      `${file}: expected JSON without comments or trailing commas, which gateways don't read (${messageOf(error)})`,
    );
  }
  return value;
}

function reviewGatewayFile(
  {file, document}: ReadFile,
  fields: NonNullable<ReturnType<typeof gatewayFields>>,
  inForceFile: string | undefined,
): ConfigurationReview {
  const fleet = decodeForReview(fields);
  const inForceFields =
    inForceFile === undefined
      ? undefined
      : gatewayFields(readJson(inForceFile));
  if (inForceFile !== undefined && inForceFields === undefined) {
    throw unreadable(`${inForceFile}: expected a gateway configuration`);
  }
  const inForce =
    inForceFields === undefined ? undefined : decodeForReview(inForceFields);
  const findings: readonly ReviewFinding[] = [
    ...reviewFleet(fleet),
    ...(inForce === undefined ? [] : versionFindings(inForce, fleet)),
  ];
  return {
    findings: findings.map(({path, ...finding}) => {
      const place = pathInFile(fields, path);
      return {
        ...finding,
        file,
        line: document.lineAt(place),
        field: place.join('.'),
      };
    }),
    changes:
      inForce === undefined ? undefined : fleetDifference(inForce, fleet),
  };
}

function parsePublication({file, text}: ReadFile) {
  return parseSettings(ConfigurationSchema, text, file, configurationProblems);
}

function readPublicationInForce(file: string): Configuration {
  const parsed = parsePublication(readJson(file));
  if (parsed.err) {
    throw unreadable(parsed.val.map(formatSettingsProblem).join('\n'));
  }
  return parsed.val;
}

function reviewPublishedFile(
  read: ReadFile,
  inForceFile: string | undefined,
): ConfigurationReview {
  const {file, document} = read;
  const inForce =
    inForceFile === undefined ? undefined : readPublicationInForce(inForceFile);
  const parsed = parsePublication(read);
  if (parsed.err) {
    return {
      findings: parsed.val.map(({line, key, expected}) => ({
        severity: FindingSeverity.Error,
        file,
        line,
        entry: key.split('.').slice(0, 2).join('.') || 'file',
        field: key,
        found: valueText(document.value, key),
        expected,
      })),
      changes: undefined,
    };
  }
  return {
    findings: reviewPublication(parsed.val).map(({path, ...finding}) => ({
      ...finding,
      file,
      line: document.lineAt(path),
      field: path.join('.'),
    })),
    changes:
      inForce === undefined
        ? undefined
        : configurationDifference(inForce, parsed.val).map(change => ({
            ...change,
            effects: publicationEffects(change),
          })),
  };
}

/**
 * A scalar value as JSON, or the kind of another one. A credential is not shown:
 * a malformed one may be a secret in plain text.
 */
function valueText(root: unknown, key: string): string {
  if (key.endsWith('.credentialSha256')) {
    return 'another value';
  }
  const value = key
    .split('.')
    .reduce<unknown>(
      (parent, name) =>
        typeof parent === 'object' && parent !== null
          ? (parent as Readonly<Record<string, unknown>>)[name]
          : undefined,
      root,
    );
  if (value === undefined) {
    return 'nothing';
  }
  return typeof value === 'object' && value !== null
    ? Array.isArray(value)
      ? 'a list'
      : 'an object'
    : JSON.stringify(value);
}

/**
 * Reviews a configuration file: one that gateways read, or one that is
 * published to the log.
 *
 * @param inForceFile File with the version in force; undefined for no
 *     comparison.
 * @throws CommandError with `ExitCode.Unreadable` if a file can't be read.
 */
export function reviewFile(
  file: string,
  inForceFile?: string,
): ConfigurationReview {
  const read = readJson(file);
  const fields = gatewayFields(read);
  return fields === undefined
    ? reviewPublishedFile(read, inForceFile)
    : reviewGatewayFile(read, fields, inForceFile);
}

/**
 * Formats a finding as one line.
 *
 * @example
 * ```ts
 * formatFinding(finding);
 * // fleet.json:7: error: route chat: routes.0.timeout_ms: found 400 ms, expected …
 * ```
 */
export function formatFinding(finding: LocatedFinding): string {
  const {file, line, severity, entry, field, found, expected} = finding;
  return `${file}:${line}: ${severity}: ${entry}: ${field}: found ${found}, expected ${expected}`;
}
