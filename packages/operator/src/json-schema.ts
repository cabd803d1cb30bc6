import {ScalarType, type DescField, type DescMessage} from '@bufbuild/protobuf';

/** A JSON Schema, or a part of one. */
export type JsonSchema = Readonly<Record<string, unknown>>;

const DIALECT = 'https://json-schema.org/draft/2020-12/schema';
const MAXIMUM_UINT32 = 0xffff_ffff;
const MAXIMUM_INT32 = 0x7fff_ffff;

function scalarSchema(scalar: ScalarType): JsonSchema {
  switch (scalar) {
    case ScalarType.STRING:
      return {type: 'string'};
    case ScalarType.BOOL:
      return {type: 'boolean'};
    case ScalarType.UINT32:
      return {type: 'integer', minimum: 0, maximum: MAXIMUM_UINT32};
    case ScalarType.SINT32:
      return {
        type: 'integer',
        minimum: -MAXIMUM_INT32 - 1,
        maximum: MAXIMUM_INT32,
      };
    case ScalarType.DOUBLE:
      return {type: 'number', minimum: 0};
    default:
      throw new Error(
        `the JSON Schema export does not support the scalar type ${ScalarType[scalar]}`,
      );
  }
}

function enumSchema(field: DescField): JsonSchema {
  const values = (field.enum?.values ?? [])
    .filter(value => value.number !== 0)
    .map(value => value.name);
  return {type: 'string', enum: values};
}

function messageReference(message: DescMessage | undefined): JsonSchema {
  return {$ref: `#/$defs/${message?.name ?? ''}`};
}

function itemSchema(field: DescField & {fieldKind: 'list'}): JsonSchema {
  switch (field.listKind) {
    case 'message':
      return messageReference(field.message);
    case 'enum':
      return enumSchema(field);
    case 'scalar':
      return scalarSchema(field.scalar);
  }
}

function fieldSchema(field: DescField): JsonSchema {
  switch (field.fieldKind) {
    case 'message':
      return messageReference(field.message);
    case 'enum':
      return enumSchema(field);
    case 'scalar':
      return scalarSchema(field.scalar);
    case 'list':
      return {type: 'array', items: itemSchema(field)};
    case 'map':
      throw new Error(
        `the JSON Schema export does not support the map field ${field.name}`,
      );
  }
}

function messageSchema(message: DescMessage): JsonSchema {
  return {
    type: 'object',
    properties: Object.fromEntries(
      message.fields.map(field => [field.jsonName, fieldSchema(field)]),
    ),
    additionalProperties: false,
  };
}

function collectMessages(
  message: DescMessage,
  messagesByName: Map<string, DescMessage>,
): Map<string, DescMessage> {
  if (!messagesByName.has(message.name)) {
    messagesByName.set(message.name, message);
    for (const {message: nested} of message.fields) {
      if (nested !== undefined) {
        collectMessages(nested, messagesByName);
      }
    }
  }
  return messagesByName;
}

/**
 * Returns the JSON Schema of a message, from its generated descriptor.
 * Libraries in other languages validate against it. It doesn't cover references
 * between items, required keys, or ranges narrower than the field's type;
 * `wisteriadeal check` does.
 *
 * @throws Error if the message has a field of an unsupported type.
 * @example
 * ```ts
 * const schema = toJsonSchema(ConfigurationSchema);
 * ```
 */
export function toJsonSchema(message: DescMessage): JsonSchema {
  const definitions = [...collectMessages(message, new Map()).values()];
  return {
    $schema: DIALECT,
    $id: `urn:wisteriadeal:schema:${message.typeName}`,
    title: message.name,
    ...messageReference(message),
    $defs: Object.fromEntries(
      definitions.map(definition => [
        definition.name,
        messageSchema(definition),
      ]),
    ),
  };
}
