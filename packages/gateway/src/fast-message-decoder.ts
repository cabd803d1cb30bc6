import {
  ScalarType,
  type DescField,
  type DescMessage,
  type MessageShape,
} from '@bufbuild/protobuf';
import {BinaryReader, WireType} from '@bufbuild/protobuf/wire';

type Fields = Record<string, unknown>;
type ReadField = (reader: BinaryReader, message: Fields) => boolean;

const WIRE_TYPE_BITS = 3;

/**
 * Decodes messages of one type several times as fast as `fromBinary`, which
 * looks up each field of each message by reflection. Each host of a large fleet
 * decodes the budget records of all hosts, so the decoding time matters.
 *
 * It supports scalar fields and oneofs of messages, as this project's encoder
 * writes them.
 *
 * @example
 * ```ts
 * const decoder = new FastMessageDecoder(BudgetRecordSchema);
 * const record = decoder.decode(bytes) ?? fromBinary(BudgetRecordSchema, bytes);
 * ```
 */
export class FastMessageDecoder<Schema extends DescMessage> {
  private readonly readers = new Map<number, ReadField>();
  private readonly empty: Fields;

  constructor(schema: Schema) {
    this.empty = {$typeName: schema.typeName};
    for (const member of schema.members) {
      if (member.kind === 'oneof') {
        this.empty[member.localName] = {case: undefined};
        member.fields.forEach(field => {
          this.addOneof(member.localName, field);
        });
      } else if (member.fieldKind === 'scalar') {
        this.addScalar(member.localName, member.number, member.scalar);
      }
    }
  }

  /**
   * @returns Undefined for bytes that only the library can decode or reject.
   */
  decode(bytes: Uint8Array): MessageShape<Schema> | undefined {
    try {
      return this.decodeUntil(
        new BinaryReader(bytes),
        bytes.length,
      ) as unknown as MessageShape<Schema> | undefined;
    } catch {
      // The caller falls back to the library, which reports the error.
      return undefined;
    }
  }

  private decodeUntil(reader: BinaryReader, end: number): Fields | undefined {
    const message = {...this.empty};
    while (reader.pos < end) {
      const readField = this.readers.get(reader.uint32());
      if (readField?.(reader, message) !== true) {
        return undefined;
      }
    }
    return reader.pos === end ? message : undefined;
  }

  private addScalar(name: string, number: number, type: ScalarType): void {
    const scalar = SCALARS.get(type);
    if (scalar === undefined) {
      return;
    }
    const {wireType, zero, read} = scalar;
    this.empty[name] = zero;
    this.readers.set(tagOf(number, wireType), (reader, message) => {
      message[name] = read(reader);
      return true;
    });
  }

  private addOneof(name: string, field: DescField): void {
    if (field.fieldKind !== 'message') {
      return;
    }
    const {localName} = field;
    const content = new FastMessageDecoder(field.message);
    const none = this.empty[name];
    this.readers.set(
      tagOf(field.number, WireType.LengthDelimited),
      (reader, message) => {
        const length = reader.uint32();
        const value = content.decodeUntil(reader, reader.pos + length);
        // A second value of the oneof would have to be merged with the first.
        if (value === undefined || message[name] !== none) {
          return false;
        }
        message[name] = {case: localName, value};
        return true;
      },
    );
  }
}

interface Scalar {
  readonly wireType: WireType;
  readonly zero: string | number | boolean;
  readonly read: (reader: BinaryReader) => string | number | boolean;
}

const SCALARS: ReadonlyMap<ScalarType, Scalar> = new Map<ScalarType, Scalar>([
  [
    ScalarType.STRING,
    {
      wireType: WireType.LengthDelimited,
      zero: '',
      read: reader => reader.string(true),
    },
  ],
  [
    ScalarType.DOUBLE,
    {wireType: WireType.Bit64, zero: 0, read: reader => reader.double()},
  ],
  [
    ScalarType.UINT32,
    {wireType: WireType.Varint, zero: 0, read: reader => reader.uint32()},
  ],
  [
    ScalarType.BOOL,
    {wireType: WireType.Varint, zero: false, read: reader => reader.bool()},
  ],
]);

function tagOf(number: number, wireType: WireType): number {
  return (number << WIRE_TYPE_BITS) | wireType;
}
