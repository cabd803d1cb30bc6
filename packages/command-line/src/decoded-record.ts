import {fromBinary, toJson, type JsonValue} from '@bufbuild/protobuf';
import {CONFIGURATION_STREAM} from '@wisteriadeal/operator';
import type {LogRecord} from '@wisteriadeal/platform';
import {
  ConfigurationRecordSchema,
  LedgerBatchSchema,
} from '@wisteriadeal/schema';

/** A decoded log record, for printing. */
export interface DecodedRecord {
  readonly offset: number;
  /** ISO 8601 time of the platform's wall clock; informational only. */
  readonly appendedAt: string;
  /** The record as JSON; undecodable bytes are `{unreadable: BASE64}`. */
  readonly record: JsonValue;
}

/** Decodes a record with the schema of its stream. */
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
