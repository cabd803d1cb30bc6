import type {Partition} from '@wisteriadeal/platform';

/** Locations of the data that a gateway reads from the platform. */
export interface GatewayNames {
  readonly configurationPartition: Partition;
  /** Record key of the configuration. */
  readonly configurationKey: string;
  /**
   * Prefix of the record keys of evacuations, in the partition of the
   * configuration; the data centre follows it.
   */
  readonly evacuationKeyPrefix: string;
  readonly endpointPartition: Partition;
  /** Path of the platform's readiness probe. */
  readonly readyPath: string;
}
