import {
  ListedState,
  type HostListing,
  type ListedHost,
} from '@wisteriadeal/platform';

/** The platform's list as it was last read. */
export class PlatformListing {
  private readonly everListed = new Set<string>();
  private readonly hostsEverListed = new Map<string, ListedHost>();
  private listing: HostListing = {hosts: [], endpoints: []};

  /** Takes a reading. */
  take(listing: HostListing): void {
    this.listing = listing;
    for (const {endpoint} of listing.endpoints) {
      this.everListed.add(endpoint);
    }
    for (const host of listing.hosts) {
      this.hostsEverListed.set(host.host, host);
    }
  }

  /** Every listed host. */
  get hosts(): readonly ListedHost[] {
    return this.listing.hosts;
  }

  /** A host as the list named it last, whether or not it still does. */
  lastKnown(host: string): ListedHost | undefined {
    return this.hostsEverListed.get(host);
  }

  /** Data centres with a live host. */
  get liveDataCenters(): readonly string[] {
    return this.hosts
      .filter(host => host.state === ListedState.Live)
      .map(host => host.dataCenter);
  }

  /** Endpoints that the list calls leaving, or named once and no longer. */
  get leavingEndpoints(): readonly string[] {
    const live = new Set(
      this.listing.endpoints
        .filter(endpoint => endpoint.state === ListedState.Live)
        .map(endpoint => endpoint.endpoint),
    );
    return [...this.everListed].filter(endpoint => !live.has(endpoint));
  }
}
