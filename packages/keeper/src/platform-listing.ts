import {clone, create} from '@bufbuild/protobuf';
import {
  ListedState,
  type HostListing,
  type ListedHost,
} from '@wisteriadeal/platform';
import {
  ProcessIdentitySchema,
  RouterMemberSchema,
  type ProcessIdentity,
  type RouterMember,
} from '@wisteriadeal/schema';

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

  /**
   * A keeper with the address by which this host reaches it. Addresses differ by
   * viewer where data centres reach each other over another network than their
   * own hosts do; what a peer says of itself holds only next to it. Symptom
   * without this: a host that is listed, and yet not reached from elsewhere.
   */
  keeperAsReached(identity: ProcessIdentity): ProcessIdentity {
    return withAddress(identity, this.lastKnown(identity.host)?.keeperAddress);
  }

  /**
   * Routers likewise. A keeper tells of all routers that have a session with it,
   * so each one's own host says where it is.
   */
  routersAsReached(routers: readonly RouterMember[]): readonly RouterMember[] {
    return routers.flatMap(({identity, state}) => {
      if (identity === undefined) {
        return [];
      }
      const listed = this.lastKnown(identity.host);
      const reached = withAddress(identity, listed?.routerControlAddress);
      return [create(RouterMemberSchema, {identity: reached, state})];
    });
  }
}

function withAddress(
  identity: ProcessIdentity,
  controlAddress: string | undefined,
): ProcessIdentity {
  if (
    controlAddress === undefined ||
    controlAddress === identity.controlAddress
  ) {
    return identity;
  }
  const reached = clone(ProcessIdentitySchema, identity);
  reached.controlAddress = controlAddress;
  return reached;
}
