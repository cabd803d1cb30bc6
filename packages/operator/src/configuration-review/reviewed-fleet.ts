/** A route of a gateway configuration, as far as a review reads it. */
export interface ReviewedRoute {
  /** Index in the list of the file. */
  readonly position: number;
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly isStreaming: boolean;
  readonly resumable: boolean;
  readonly services: readonly {
    readonly service: string;
    readonly weight: number;
  }[];
  readonly timeoutMilliseconds: number;
  /** 0 if none is set. */
  readonly goalMilliseconds: number;
  /** 0 if none is set. */
  readonly pauseGoalMilliseconds: number;
  readonly maximumAttempts: number;
  readonly priority: number;
  readonly allowedRegions: readonly string[] | undefined;
  readonly isPublic: boolean;
}

/** A service of a gateway configuration, as far as a review reads it. */
export interface ReviewedService {
  readonly position: number;
  readonly name: string;
}

/** An organisation of a gateway configuration, as far as a review reads it. */
export interface ReviewedOrganisation {
  readonly position: number;
  readonly name: string;
  /** API keys in plain text; they must not be printed. */
  readonly keys: readonly string[];
  /** Prepaid tokens; undefined if no budget is set. */
  readonly prepaid: number | undefined;
  readonly allowedRegions: readonly string[] | undefined;
}

/** A value of the file that gateways ignore. */
export interface UnusableValue {
  readonly path: readonly (string | number)[];
  readonly entry: string;
  /** The value as JSON. */
  readonly found: string;
  readonly expected: string;
  /** Whether gateways drop the whole entry; otherwise a default applies. */
  readonly dropsEntry: boolean;
}

/**
 * A gateway configuration for a review. Lists are in the order of the file and
 * keep entries with equal names.
 */
export interface ReviewedFleet {
  readonly version: number;
  readonly routes: readonly ReviewedRoute[];
  readonly services: readonly ReviewedService[];
  readonly organisations: readonly ReviewedOrganisation[];
  readonly unusable: readonly UnusableValue[];
}
