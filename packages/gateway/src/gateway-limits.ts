import {inputCapacityBytes, type ResendLimits} from '@wisteriadeal/decisions';
import type {GatewaySettings} from '@wisteriadeal/schema';

/** Limits that a gateway's settings define. */
export interface GatewayLimits {
  /**
   * Time from the platform's request to stop until it kills the process,
   * milliseconds.
   */
  readonly stopGraceMilliseconds: number;
  readonly resends: ResendLimits;
  /**
   * How long an endpoint accepts new requests after it is listed as leaving,
   * milliseconds.
   */
  readonly endpointDrainMilliseconds: number;
  /** Time within which a new configuration has to be in force, milliseconds. */
  readonly configurationApplyMilliseconds: number;
  /**
   * Time within which the endpoints of an evacuated data centre get nothing new,
   * milliseconds.
   */
  readonly evacuationMilliseconds: number;
  /** Retention of the store, which may drop older records, milliseconds. */
  readonly storeRetentionMilliseconds: number;
  /** Capacity of the host's link, bytes per second; 0 if unknown. */
  readonly linkBytesPerSecond: number;
  /** Bytes from outside that all requests together may hold. */
  readonly inputCapacityBytes: number;
  /** Connections that the machine allows the process; undefined if unknown. */
  readonly connectionLimit: number | undefined;
}

const DEFAULT_STOP_GRACE_SECONDS = 8;
const DEFAULT_ENDPOINT_DRAIN_MILLISECONDS = 2_000;
const DEFAULT_CONFIGURATION_APPLY_MILLISECONDS = 2_000;
const DEFAULT_EVACUATION_MILLISECONDS = 5_000;
const DEFAULT_RETRY_WINDOW_SECONDS = 10;
const DEFAULT_STORE_RETENTION_SECONDS = 20;
const MEGABIT_BYTES = 125_000;

/**
 * Converts a setting to milliseconds; proto3 reads a missing number as 0, which
 * selects the default.
 */
function secondsToMilliseconds(
  seconds: number,
  defaultSeconds: number,
): number {
  return (seconds === 0 ? defaultSeconds : seconds) * 1_000;
}

/**
 * Reads the limits from the settings, with a default for each time that is
 * missing or 0. Without a setting for the resend budget, no resends are
 * allowed.
 *
 * @example
 * ```ts
 * const {stopGraceMilliseconds} = gatewayLimits(settings);
 * ```
 */
export function gatewayLimits(settings: GatewaySettings): GatewayLimits {
  return {
    stopGraceMilliseconds: secondsToMilliseconds(
      settings.stopGraceSeconds,
      DEFAULT_STOP_GRACE_SECONDS,
    ),
    resends: {
      resendsPerRequest: settings.retryBudgetRatio,
      extraResends: settings.retryBudgetExtra,
      windowMilliseconds: secondsToMilliseconds(
        settings.retryBudgetWindowSeconds,
        DEFAULT_RETRY_WINDOW_SECONDS,
      ),
    },
    endpointDrainMilliseconds:
      settings.endpointDrainMilliseconds || DEFAULT_ENDPOINT_DRAIN_MILLISECONDS,
    configurationApplyMilliseconds:
      settings.configurationApplyMilliseconds ||
      DEFAULT_CONFIGURATION_APPLY_MILLISECONDS,
    evacuationMilliseconds:
      settings.evacuationMilliseconds || DEFAULT_EVACUATION_MILLISECONDS,
    storeRetentionMilliseconds: secondsToMilliseconds(
      settings.storeKeepSeconds,
      DEFAULT_STORE_RETENTION_SECONDS,
    ),
    linkBytesPerSecond: settings.linkMegabitsPerSecond * MEGABIT_BYTES,
    inputCapacityBytes: inputCapacityBytes(settings.memoryMegabytes),
    connectionLimit: connectionLimitOf(settings),
  };
}

function connectionLimitOf({
  descriptorLimit,
  fileDescriptors,
}: GatewaySettings): number | undefined {
  return descriptorLimit === 0
    ? undefined
    : Math.max(1, Math.floor(descriptorLimit - fileDescriptors));
}
