import type {KeeperSettings} from '@wisteriadeal/schema';

/** The settings of a keeper, with defaults for missing values. */
export interface KeeperOptions {
  readonly address: string;
  readonly controlPort: number;
  readonly ledgerStreams: number;
  readonly billFlushMilliseconds: number;
  readonly heartbeatMilliseconds: number;
  readonly heartbeatLimitMilliseconds: number;
  readonly fenceDelayMilliseconds: number;
  readonly orphanWaitMilliseconds: number;
  readonly seedKeepers: readonly string[];
  readonly checkpointRecords: number;
}

const DEFAULT_LEDGER_STREAMS = 8;
const DEFAULT_BILL_FLUSH_MILLISECONDS = 500;
const DEFAULT_HEARTBEAT_MILLISECONDS = 1_000;
const DEFAULT_HEARTBEAT_LIMIT_MILLISECONDS = 5_000;
const DEFAULT_FENCE_DELAY_MILLISECONDS = 3_000;
const DEFAULT_ORPHAN_WAIT_MILLISECONDS = 10_000;
const DEFAULT_CHECKPOINT_RECORDS = 5_000;

/**
 * Returns a number of the settings or its default; proto3 reads a missing
 * number as 0.
 */
function orDefault(value: number, defaultValue: number): number {
  return value === 0 ? defaultValue : value;
}

/**
 * Reads the options of a keeper from its settings, and fills in defaults.
 *
 * @example
 * ```ts
 * const {heartbeatMilliseconds} = keeperOptions(settings);
 * ```
 */
export function keeperOptions(settings: KeeperSettings): KeeperOptions {
  return {
    address: settings.process?.address ?? '127.0.0.1',
    controlPort: settings.process?.controlPort ?? 0,
    ledgerStreams: orDefault(settings.ledgerStreams, DEFAULT_LEDGER_STREAMS),
    billFlushMilliseconds: orDefault(
      settings.billFlushMilliseconds,
      DEFAULT_BILL_FLUSH_MILLISECONDS,
    ),
    heartbeatMilliseconds: orDefault(
      settings.heartbeatMilliseconds,
      DEFAULT_HEARTBEAT_MILLISECONDS,
    ),
    heartbeatLimitMilliseconds: orDefault(
      settings.heartbeatLimitMilliseconds,
      DEFAULT_HEARTBEAT_LIMIT_MILLISECONDS,
    ),
    fenceDelayMilliseconds: orDefault(
      settings.fenceDelayMilliseconds,
      DEFAULT_FENCE_DELAY_MILLISECONDS,
    ),
    orphanWaitMilliseconds: orDefault(
      settings.orphanWaitMilliseconds,
      DEFAULT_ORPHAN_WAIT_MILLISECONDS,
    ),
    seedKeepers: settings.seedKeepers,
    checkpointRecords: orDefault(
      settings.checkpointRecords,
      DEFAULT_CHECKPOINT_RECORDS,
    ),
  };
}
