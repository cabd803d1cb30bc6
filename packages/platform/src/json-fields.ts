/** A JSON object of a peer's answer, not yet trusted. */
export type JsonFields = Readonly<Record<string, unknown>>;

/** Parses an answer's body that must be a JSON object. */
export function parseFields(text: string): JsonFields {
  return asFields(JSON.parse(text));
}

/** Checks that a value is an object. */
export function asFields(value: unknown): JsonFields {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    throw new TypeError('the answer holds no object where one belongs');
  }
  return value as JsonFields;
}

/** Reads a number. */
export function numberField(fields: JsonFields, name: string): number {
  const value = fields[name];
  if (typeof value !== 'number') {
    throw new TypeError(`the answer lacks the number ${name}`);
  }
  return value;
}

/** Reads a string. */
export function stringField(fields: JsonFields, name: string): string {
  const value = fields[name];
  if (typeof value !== 'string') {
    throw new TypeError(`the answer lacks the string ${name}`);
  }
  return value;
}

/** Reads a list. */
export function listField(
  fields: JsonFields,
  name: string,
): readonly unknown[] {
  const value = fields[name];
  if (!Array.isArray(value)) {
    throw new TypeError(`the answer lacks the list ${name}`);
  }
  return value as readonly unknown[];
}
