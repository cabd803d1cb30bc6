import {fromBinary} from '@bufbuild/protobuf';
import {ConfigurationFold, LedgerFold} from '@wisteriadeal/ledger';
import type {LogClient} from '@wisteriadeal/platform';
import {
  ConfigurationRecordSchema,
  LedgerBatchSchema,
  type LedgerCheckpoint,
} from '@wisteriadeal/schema';

import {FoldSource, StreamReader} from './stream-reader.js';

/** Name of the stream on which configurations are published. */
export const CONFIGURATION_STREAM = 'configuration';

/** Folds the stream `configuration` into a `ConfigurationFold`. */
export class ConfigurationFoldSource extends FoldSource<ConfigurationFold> {
  override empty(): ConfigurationFold {
    return new ConfigurationFold();
  }

  override fromCheckpoint(payload: Uint8Array): ConfigurationFold | undefined {
    const {kind} = fromBinary(ConfigurationRecordSchema, payload);
    return kind.case === 'checkpoint'
      ? ConfigurationFold.fromCheckpoint(kind.value)
      : undefined;
  }

  override apply(
    fold: ConfigurationFold,
    offset: number,
    payload: Uint8Array,
  ): void {
    fold.apply(offset, payload);
  }
}

function findCheckpoint(payload: Uint8Array): LedgerCheckpoint | undefined {
  for (const {kind} of fromBinary(LedgerBatchSchema, payload).entries) {
    if (kind.case === 'checkpoint') {
      return kind.value;
    }
  }
  return undefined;
}

/** Folds a ledger stream, `ledger-N`, into a `LedgerFold`. */
export class LedgerFoldSource extends FoldSource<LedgerFold> {
  override empty(): LedgerFold {
    return new LedgerFold();
  }

  override fromCheckpoint(payload: Uint8Array): LedgerFold | undefined {
    const checkpoint = findCheckpoint(payload);
    return checkpoint === undefined
      ? undefined
      : LedgerFold.fromCheckpoint(checkpoint);
  }

  override apply(fold: LedgerFold, offset: number, payload: Uint8Array): void {
    fold.apply(offset, payload);
  }
}

/**
 * Creates a reader of the stream `configuration`.
 *
 * @example
 * ```ts
 * const fold = await configurationReader(log).readToEnd();
 * ```
 */
export function configurationReader(
  log: LogClient,
): StreamReader<ConfigurationFold> {
  return new StreamReader(
    log,
    CONFIGURATION_STREAM,
    new ConfigurationFoldSource(),
  );
}

/**
 * Creates a reader of a ledger stream.
 *
 * @example
 * ```ts
 * const fold = await ledgerReader(log, ledgerStreamOf(name, 8)).readToEnd();
 * ```
 */
export function ledgerReader(
  log: LogClient,
  stream: string,
): StreamReader<LedgerFold> {
  return new StreamReader(log, stream, new LedgerFoldSource());
}
