import type {KeeperSettings} from '@wisteriadeal/schema';

/** Settings with the defaults of what they leave out; times in milliseconds. */
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

/** A number of the settings; proto3 gives 0 where none was written. */
function orDefault(value: number, standard: number): number {
  return value === 0 ? standard : value;
}

/**
 * Fills in defaults.
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
