import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import {BudgetRecordSchema, type BudgetRecord} from '@wisteriadeal/schema';
import {
  array,
  assert,
  boolean,
  constant,
  double,
  integer,
  nat,
  oneof,
  property,
  record,
  string,
  tuple,
  uint8Array,
} from 'fast-check';
import {expect, it} from 'vitest';

import {decodeRecord} from '../budget-codec.js';
import {FastMessageDecoder} from '../fast-message-decoder.js';

const RUNS = {numRuns: 500};

const text = () => oneof(string(), string({unit: 'binary'}), constant(''));
const amount = () => oneof(double(), nat());

const change = oneof(
  record({
    case: constant('opened' as const),
    value: record({
      $typeName: constant('wisteriadeal.v1.HolderOpened' as const),
      host: text(),
      address: text(),
      dataCenter: text(),
      region: text(),
    }),
  }),
  record({
    case: constant('requested' as const),
    value: record({
      $typeName: constant('wisteriadeal.v1.GrantRequested' as const),
      organisation: text(),
      least: amount(),
      wish: amount(),
      urgent: boolean(),
      prepaid: amount(),
      configurationVersion: amount(),
      held: amount(),
      pooledPart: amount(),
    }),
  }),
  record({
    case: constant('returned' as const),
    value: record({
      $typeName: constant('wisteriadeal.v1.GrantReturned' as const),
      organisation: text(),
      amount: amount(),
      held: amount(),
    }),
  }),
  record({
    case: constant('lent' as const),
    value: record({
      $typeName: constant('wisteriadeal.v1.GrantLent' as const),
      organisation: text(),
      borrower: text(),
      amount: amount(),
      held: amount(),
      loan: text(),
    }),
  }),
  constant({case: undefined}),
);

const records = record({
  incarnation: text(),
  sequence: integer({min: 0, max: 2 ** 32 - 1}),
  change,
}).map(content => create(BudgetRecordSchema, content));

function byLibrary(bytes: Uint8Array): BudgetRecord | undefined {
  try {
    return fromBinary(BudgetRecordSchema, bytes);
  } catch {
    return undefined;
  }
}

it('decodes encoded records like the library', () => {
  const reader = new FastMessageDecoder(BudgetRecordSchema);
  assert(
    property(records, sent => {
      const bytes = toBinary(BudgetRecordSchema, sent);
      expect(reader.decode(bytes)).toStrictEqual(byLibrary(bytes));
    }),
    RUNS,
  );
});

it('decodes changed, joined and cut records like the library, so that all hosts agree', () => {
  const changes = array(tuple(nat(300), nat(255)), {maxLength: 4});
  assert(
    property(records, records, changes, nat(400), (one, other, set, length) => {
      const bytes = Buffer.concat([
        toBinary(BudgetRecordSchema, one),
        toBinary(BudgetRecordSchema, other),
      ]);
      for (const [at, byte] of set) {
        bytes[at % Math.max(1, bytes.length)] = byte;
      }
      const cut = bytes.subarray(0, length);
      expect(decodeRecord(cut)).toStrictEqual(byLibrary(cut));
    }),
    RUNS,
  );
});

it('decodes arbitrary bytes like the library', () => {
  assert(
    property(uint8Array({maxLength: 60}), bytes => {
      expect(decodeRecord(bytes)).toStrictEqual(byLibrary(bytes));
    }),
    RUNS,
  );
});
