import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import {
  BudgetCheckpointSchema,
  BudgetRecordSchema,
  type BudgetCheckpoint,
  type BudgetRecord,
} from '@wisteriadeal/schema';

import {PlainMessageReader} from './plain-message-reader.js';

const RECORD_READER = new PlainMessageReader(BudgetRecordSchema);

/** What a record changes. */
export type BudgetChange = Exclude<
  BudgetRecord['change'],
  {case: undefined; value?: undefined}
>;

/** One record of this process. */
export function budgetRecord(
  incarnation: string,
  sequence: number,
  change: BudgetChange,
): BudgetRecord {
  return create(BudgetRecordSchema, {incarnation, sequence, change});
}

/** Bytes of a record. */
export function encodeRecord(record: BudgetRecord): Uint8Array {
  return toBinary(BudgetRecordSchema, record);
}

/** A record; undefined for bytes that are none, which the fold passes over. */
export function decodeRecord(bytes: Uint8Array): BudgetRecord | undefined {
  return (
    RECORD_READER.read(bytes) ??
    tryDecode(() => fromBinary(BudgetRecordSchema, bytes))
  );
}

/** Bytes of a checkpoint. */
export function encodeCheckpoint(checkpoint: BudgetCheckpoint): Uint8Array {
  return toBinary(BudgetCheckpointSchema, checkpoint);
}

/** A checkpoint; undefined for bytes that are none. */
export function decodeCheckpoint(
  bytes: Uint8Array,
): BudgetCheckpoint | undefined {
  return tryDecode(() => fromBinary(BudgetCheckpointSchema, bytes));
}

function tryDecode<Message>(decode: () => Message): Message | undefined {
  try {
    return decode();
  } catch {
    // Foreign bytes are no message; whoever asked logs that.
    return undefined;
  }
}
