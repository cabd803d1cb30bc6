import {
  fromJson,
  type DescMessage,
  type MessageShape,
} from '@bufbuild/protobuf';
import {
  findNodeAtLocation,
  getNodeValue,
  parseTree,
  printParseErrorCode,
  type Node,
  type ParseError,
} from 'jsonc-parser';
import {readFileSync} from 'node:fs';

import {Err, Ok, type Result} from './results.js';
import {checkAgainstSchema, type SchemaMismatch} from './schema-check.js';

/** A problem in a settings or configuration file. */
export interface SettingsProblem {
  readonly file: string;
  /** Line number, from 1. */
  readonly line: number;
  /** Path of the key, such as `platform.logUrl`; empty if it concerns the whole file. */
  readonly key: string;
  readonly expected: string;
}

/**
 * Formats a problem as one line.
 *
 * @example
 * ```ts
 * console.error(formatSettingsProblem(problem));
 * // router.jsonc:4: process.controlPort: expected a whole number …
 * ```
 */
export function formatSettingsProblem(problem: SettingsProblem): string {
  const key = problem.key === '' ? 'file' : problem.key;
  return `${problem.file}:${problem.line}: ${key}: expected ${problem.expected}`;
}

function lineOf(text: string, offset: number): number {
  return text.slice(0, offset).split('\n').length;
}

function parseProblems(
  file: string,
  text: string,
  errors: readonly ParseError[],
): SettingsProblem[] {
  return errors.map(error => ({
    file,
    line: lineOf(text, error.offset),
    key: '',
    expected: `JSON with comments (${printParseErrorCode(error.error)})`,
  }));
}

/** Checks constraints on a message beyond its schema. */
export type MessageCheck<Schema extends DescMessage> = (
  message: MessageShape<Schema>,
) => readonly SchemaMismatch[];

function nodeAt(root: Node, path: readonly (string | number)[]): Node {
  for (let length = path.length; length > 0; length--) {
    const node = findNodeAtLocation(root, path.slice(0, length));
    if (node !== undefined) {
      return node.parent?.type === 'property' ? node.parent : node;
    }
  }
  return root;
}

/** A parsed file of JSON with comments. */
export interface JsonDocument {
  readonly value: unknown;
  /**
   * The line of the value at a path, from 1; for an absent value that of its
   * parent.
   */
  lineAt(path: readonly (string | number)[]): number;
}

/**
 * Parses JSON with comments and keeps the lines of its values.
 *
 * @param file File name used in the problems.
 * @example
 * ```ts
 * parseJsonDocument('{\n  "a": [1]\n}', 'a.json').unwrap().lineAt(['a', 0]); // 2
 * ```
 */
export function parseJsonDocument(
  text: string,
  file: string,
): Result<JsonDocument, readonly SettingsProblem[]> {
  const errors: ParseError[] = [];
  const root = parseTree(text, errors, {allowTrailingComma: true});
  if (root === undefined || errors.length > 0) {
    const problems = parseProblems(file, text, errors);
    return Err(
      problems.length > 0
        ? problems
        : [{file, line: 1, key: '', expected: 'a JSON object'}],
    );
  }
  return Ok({
    value: getNodeValue(root) as unknown,
    lineAt: path => lineOf(text, nodeAt(root, path).offset),
  });
}

function toProblem(
  file: string,
  document: JsonDocument,
  mismatch: SchemaMismatch,
): SettingsProblem {
  return {
    file,
    line: document.lineAt(mismatch.path),
    key: mismatch.path.join('.'),
    expected: mismatch.expected,
  };
}

/**
 * Parses a message from JSON with comments. Reports all unknown keys, wrong types and
 * values out of range together.
 *
 * @param schema The generated message schema.
 * @param text Contents of the file.
 * @param file File name used in the problems.
 * @param check Checks constraints that the schema can't express; called only if the
 *     value matches the schema.
 * @example
 * ```ts
 * const result = parseSettings(RouterSettingsSchema, text, 'router.jsonc');
 * ```
 */
export function parseSettings<Schema extends DescMessage>(
  schema: Schema,
  text: string,
  file: string,
  check: MessageCheck<Schema> = () => [],
): Result<MessageShape<Schema>, readonly SettingsProblem[]> {
  const document = parseJsonDocument(text, file);
  if (document.err) {
    return document;
  }
  const {value} = document.val;
  const asProblems = (mismatches: readonly SchemaMismatch[]) =>
    Err(mismatches.map(mismatch => toProblem(file, document.val, mismatch)));
  const mismatches = checkAgainstSchema(schema, value);
  if (mismatches.length > 0) {
    return asProblems(mismatches);
  }
  const message = fromJson(schema, value as Parameters<typeof fromJson>[1]);
  const rejected = check(message);
  return rejected.length > 0 ? asProblems(rejected) : Ok(message);
}

/**
 * Reads and parses a settings file. A file that can't be read is reported as a problem.
 *
 * @param path Path of the file.
 * @param check Checks constraints that the schema can't express.
 * @example
 * ```ts
 * const settings = loadSettings(KeeperSettingsSchema, 'keeper.jsonc');
 * if (settings.err) settings.val.map(formatSettingsProblem).forEach(print);
 * ```
 */
export function loadSettings<Schema extends DescMessage>(
  schema: Schema,
  path: string,
  check: MessageCheck<Schema> = () => [],
): Result<MessageShape<Schema>, readonly SettingsProblem[]> {
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return Err([
      {file: path, line: 1, key: '', expected: `a readable file (${reason})`},
    ]);
  }
  return parseSettings(schema, text, path, check);
}
