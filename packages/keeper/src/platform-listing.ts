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

/** The platform's list of hosts and endpoints as it was last read. */
export class PlatformListing {
  private readonly endpointsEverListed = new Set<string>();
  private readonly hostsEverListed = new Map<string, ListedHost>();
  private listing: HostListing = {hosts: [], endpoints: []};

  /** Replaces the list by a newer one. */
  update(listing: HostListing): void {
    this.listing = listing;
    for (const {endpoint} of listing.endpoints) {
      this.endpointsEverListed.add(endpoint);
    }
    for (const host of listing.hosts) {
      this.hostsEverListed.set(host.host, host);
    }
  }

  /** All hosts on the list. */
  get hosts(): readonly ListedHost[] {
    return this.listing.hosts;
  }

  /**
   * Returns the last list entry of a host, even if the host is no longer
   * listed.
   */
  lastListed(host: string): ListedHost | undefined {
    return this.hostsEverListed.get(host);
  }

  /** Data centres with a live host; one entry per host. */
  get liveDataCenters(): readonly string[] {
    return this.hosts
      .filter(host => host.state === ListedState.Live)
      .map(host => host.dataCenter);
  }

  /**
   * Endpoints that are listed as leaving, or were listed before and no longer
   * are.
   */
  get leavingEndpoints(): readonly string[] {
    const live = new Set(
      this.listing.endpoints
        .filter(endpoint => endpoint.state === ListedState.Live)
        .map(endpoint => endpoint.endpoint),
    );
    return [...this.endpointsEverListed].filter(
      endpoint => !live.has(endpoint),
    );
  }

  /**
   * Returns a keeper's identity with the address by which this host reaches it.
   * The address that a peer announces may be valid only in its own data centre,
   * as data centres can be connected by another network than the hosts within
   * one. Without this, a listed host can't be reached from other data centres.
   */
  withReachableAddress(identity: ProcessIdentity): ProcessIdentity {
    return withAddress(identity, this.lastListed(identity.host)?.keeperAddress);
  }

  /**
   * Returns routers with the addresses by which this host reaches them. A
   * keeper announces all routers that have a session with it, also of other
   * hosts, so the address comes from the list entry of each router's own host.
   */
  withReachableAddresses(
    routers: readonly RouterMember[],
  ): readonly RouterMember[] {
    return routers.flatMap(({identity, state}) => {
      if (identity === undefined) {
        return [];
      }
      const listed = this.lastListed(identity.host);
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
