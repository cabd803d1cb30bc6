import {fromBinary, toJson, type JsonValue} from '@bufbuild/protobuf';
import {CONFIGURATION_STREAM} from '@wisteriadeal/operator';
import type {LogRecord} from '@wisteriadeal/platform';
import {
  ConfigurationRecordSchema,
  LedgerBatchSchema,
} from '@wisteriadeal/schema';

/** A record in a form that can be printed. */
export interface DecodedRecord {
  readonly offset: number;
  /** The platform's wall clock; for people only. */
  readonly appendedAt: string;
  /** The decoded record; bytes that are none are shown in base64. */
  readonly record: JsonValue;
}

/** Decodes a record by the stream that it stands on. */
export function decodeRecord(
  stream: string,
  {offset, payload, appendedAtMilliseconds}: LogRecord,
): DecodedRecord {
  const schema =
    stream === CONFIGURATION_STREAM
      ? ConfigurationRecordSchema
      : LedgerBatchSchema;
  const appendedAt = new Date(appendedAtMilliseconds).toISOString();
  try {
    const record = toJson(schema, fromBinary(schema, payload));
    return {offset, appendedAt, record};
  } catch {
    const bytes = Buffer.from(payload).toString('base64');
    return {offset, appendedAt, record: {unreadable: bytes}};
  }
}
