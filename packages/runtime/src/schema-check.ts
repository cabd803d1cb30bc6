import {ScalarType, type DescField, type DescMessage} from '@bufbuild/protobuf';

/** A value that does not match the schema. */
export interface SchemaMismatch {
  readonly path: readonly (string | number)[];
  readonly expected: string;
}

type Path = readonly (string | number)[];

const MAXIMUM_UINT32 = 0xffff_ffff;

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function checkScalar(
  scalar: ScalarType,
  value: unknown,
  path: Path,
): SchemaMismatch[] {
  switch (scalar) {
    case ScalarType.STRING:
      return typeof value === 'string' ? [] : [{path, expected: 'a string'}];
    case ScalarType.BOOL:
      return typeof value === 'boolean'
        ? []
        : [{path, expected: 'true or false'}];
    case ScalarType.UINT32:
      return Number.isInteger(value) &&
        (value as number) >= 0 &&
        (value as number) <= MAXIMUM_UINT32
        ? []
        : [{path, expected: `a whole number from 0 to ${MAXIMUM_UINT32}`}];
    case ScalarType.DOUBLE:
      return Number.isFinite(value) && (value as number) >= 0
        ? []
        : [{path, expected: 'a number of at least 0'}];
    default:
      return [];
  }
}

function checkEnum(
  field: DescField & {fieldKind: 'enum' | 'list'},
  value: unknown,
  path: Path,
): SchemaMismatch[] {
  const names = (field.enum?.values ?? [])
    .filter(candidate => candidate.number !== 0)
    .map(candidate => candidate.name);
  return typeof value === 'string' && names.includes(value)
    ? []
    : [{path, expected: `one of ${names.join(', ')}`}];
}

function checkList(
  field: DescField & {fieldKind: 'list'},
  value: unknown,
  path: Path,
): SchemaMismatch[] {
  if (!Array.isArray(value)) {
    return [{path, expected: 'a list'}];
  }
  return value.flatMap((item: unknown, index) => {
    const itemPath = [...path, index];
    switch (field.listKind) {
      case 'message':
        return checkMessage(field.message, item, itemPath);
      case 'enum':
        return checkEnum(field, item, itemPath);
      case 'scalar':
        return checkScalar(field.scalar, item, itemPath);
    }
  });
}

function checkField(
  field: DescField,
  value: unknown,
  path: Path,
): SchemaMismatch[] {
  switch (field.fieldKind) {
    case 'message':
      return checkMessage(field.message, value, path);
    case 'list':
      return checkList(field, value, path);
    case 'enum':
      return checkEnum(field, value, path);
    case 'scalar':
      return checkScalar(field.scalar, value, path);
    case 'map':
      return isObject(value) ? [] : [{path, expected: 'an object'}];
  }
}

function checkMessage(
  schema: DescMessage,
  value: unknown,
  path: Path,
): SchemaMismatch[] {
  if (!isObject(value)) {
    return [{path, expected: 'an object'}];
  }
  const fields = new Map(schema.fields.map(field => [field.jsonName, field]));
  return Object.entries(value).flatMap(([key, item]) => {
    const field = fields.get(key);
    if (field === undefined) {
      const expected = `one of the keys ${[...fields.keys()].join(', ')}`;
      return [{path: [...path, key], expected}];
    }
    // As in the protobuf JSON format, null stands for an absent value.
    return item === null ? [] : checkField(field, item, [...path, key]);
  });
}

/**
 * Compares a JSON value with a message schema and reports every mismatch; a parser
 * would stop at the first one.
 *
 * @example
 * ```ts
 * checkAgainstSchema(RouterSettingsSchema, {callerPort: 'x'});
 * // [{path: ['callerPort'], expected: 'a whole number from 0 to 4294967295'}]
 * ```
 */
export function checkAgainstSchema(
  schema: DescMessage,
  value: unknown,
): readonly SchemaMismatch[] {
  return checkMessage(schema, value, []);
}
