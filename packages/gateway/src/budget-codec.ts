import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import {hasValidCeilings, hasValidFigures} from '@wisteriadeal/budgets';
import {
  BudgetCheckpointSchema,
  BudgetRecordSchema,
  GrantCeilingsSchema,
  type BudgetCheckpoint,
  type BudgetRecord,
  type GrantCeilings,
} from '@wisteriadeal/schema';

import {FastMessageDecoder} from './fast-message-decoder.js';

const RECORD_DECODER = new FastMessageDecoder(BudgetRecordSchema);

/** The change that a record describes. */
export type BudgetChange = Exclude<
  BudgetRecord['change'],
  {case: undefined; value?: undefined}
>;

/** Creates a record of this process. */
export function budgetRecord(
  incarnation: string,
  sequence: number,
  change: BudgetChange,
): BudgetRecord {
  return create(BudgetRecordSchema, {incarnation, sequence, change});
}

/** Encodes a record. */
export function encodeRecord(record: BudgetRecord): Uint8Array {
  return toBinary(BudgetRecordSchema, record);
}

/** Decodes a record; undefined for other bytes, which the fold skips. */
export function decodeRecord(bytes: Uint8Array): BudgetRecord | undefined {
  return (
    RECORD_DECODER.decode(bytes) ??
    tryDecode(() => fromBinary(BudgetRecordSchema, bytes))
  );
}

/** Encodes a checkpoint. */
export function encodeCheckpoint(checkpoint: BudgetCheckpoint): Uint8Array {
  return toBinary(BudgetCheckpointSchema, checkpoint);
}

/** Decodes a checkpoint; undefined for other bytes, and for figures that are none. */
export function decodeCheckpoint(
  bytes: Uint8Array,
): BudgetCheckpoint | undefined {
  const checkpoint = tryDecode(() => fromBinary(BudgetCheckpointSchema, bytes));
  return checkpoint !== undefined && hasValidFigures(checkpoint)
    ? checkpoint
    : undefined;
}

/** Encodes ceilings that are no part of a checkpoint. */
export function encodeCeilings(ceilings: GrantCeilings): Uint8Array {
  return toBinary(GrantCeilingsSchema, ceilings);
}

/** Decodes ceilings; undefined for other bytes, and for figures that are none. */
export function decodeCeilings(bytes: Uint8Array): GrantCeilings | undefined {
  const stored = tryDecode(() => fromBinary(GrantCeilingsSchema, bytes));
  return stored !== undefined && hasValidCeilings(stored) ? stored : undefined;
}

function tryDecode<Message>(decode: () => Message): Message | undefined {
  try {
    return decode();
  } catch {
    // The bytes are not a message of this type. The caller decides whether to log it.
    return undefined;
  }
}
