import type {Partition} from '@wisteriadeal/platform';

/** Where the platform keeps what a gateway follows. */
export interface GatewayNames {
  readonly configurationPartition: Partition;
  /** Key under which the configuration stands. */
  readonly configurationKey: string;
  readonly endpointPartition: Partition;
  /** Path at which the platform asks for readiness. */
  readonly readyPath: string;
}
