/** What a host may do by the configuration that it has. */
export enum ConfigurationTrust {
  /** Serve requests, and deny what the configuration does not allow. */
  Current = 'current',
  /** Serve requests, but deny none: a newer version may allow it. */
  MayBeReplaced = 'may-be-replaced',
  /** Nothing: a newer version has been unread for too long. */
  Outdated = 'outdated',
}

/** What a host knows of the age of its configuration. */
export interface ConfigurationAge {
  /**
   * Milliseconds for which the host has known of records that it has not read; undefined
   * if it knows of none.
   */
  readonly pendingMilliseconds: number | undefined;
  /** Milliseconds since the store last told that there is nothing newer. */
  readonly unconfirmedMilliseconds: number;
  /** Whether the store itself fails, so that no host may have the records. */
  readonly isStoreOutage: boolean;
}

/**
 * Share of the time within which a version has to be in force for which a host goes on by
 * one that it knows to be replaced. The rest passes before it learns of the newer one.
 */
const PENDING_SHARE = 0.5;
/**
 * Share of that time after which a configuration counts as unconfirmed. The store confirms
 * it after half of it at the latest, and its word takes a while over a full link.
 */
const UNCONFIRMED_SHARE = 0.75;

/**
 * Decides how far a host may rely on its configuration. Answers a host that was cut off
 * from the store, or whose full link delays a large version: it denied routes for seconds
 * that the newer version has.
 *
 * @param applyMilliseconds Time within which a version has to be in force.
 * @example
 * ```ts
 * const age = {pendingMilliseconds: 200, unconfirmedMilliseconds: 300, isStoreOutage: false};
 * configurationTrust(age, 3_000); // ConfigurationTrust.MayBeReplaced
 * ```
 */
export function configurationTrust(
  {
    pendingMilliseconds,
    unconfirmedMilliseconds,
    isStoreOutage,
  }: ConfigurationAge,
  applyMilliseconds: number,
): ConfigurationTrust {
  const isPendingTooLong =
    (pendingMilliseconds ?? 0) >= PENDING_SHARE * applyMilliseconds;
  if (isPendingTooLong && !isStoreOutage) {
    return ConfigurationTrust.Outdated;
  }
  return pendingMilliseconds !== undefined ||
    unconfirmedMilliseconds > UNCONFIRMED_SHARE * applyMilliseconds
    ? ConfigurationTrust.MayBeReplaced
    : ConfigurationTrust.Current;
}
