/** A JSON object from a peer's response; its fields are not validated yet. */
export type JsonFields = Readonly<Record<string, unknown>>;

/**
 * Parses a response body that must be a JSON object.
 *
 * @throws SyntaxError if the text is not JSON.
 * @throws TypeError if it is not an object.
 */
export function parseFields(text: string): JsonFields {
  return asFields(JSON.parse(text));
}

/**
 * Checks that a value is an object.
 *
 * @throws TypeError if it is not.
 */
export function asFields(value: unknown): JsonFields {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    throw new TypeError('expected a JSON object in the response');
  }
  return value as JsonFields;
}

/**
 * Reads a field that must be a number.
 *
 * @throws TypeError if it is not.
 */
export function numberField(fields: JsonFields, name: string): number {
  const value = fields[name];
  if (typeof value !== 'number') {
    throw new TypeError(`expected a number in field ${name} of the response`);
  }
  return value;
}

/**
 * Reads a field that must be a string.
 *
 * @throws TypeError if it is not.
 */
export function stringField(fields: JsonFields, name: string): string {
  const value = fields[name];
  if (typeof value !== 'string') {
    throw new TypeError(`expected a string in field ${name} of the response`);
  }
  return value;
}

/**
 * Reads a field that must be an array.
 *
 * @throws TypeError if it is not.
 */
export function listField(
  fields: JsonFields,
  name: string,
): readonly unknown[] {
  const value = fields[name];
  if (!Array.isArray(value)) {
    throw new TypeError(`expected an array in field ${name} of the response`);
  }
  return value as readonly unknown[];
}
