import type {ListedHost} from '@wisteriadeal/platform';

import {Relay, RelayState} from './relay.js';

/** Name of the platform's network location; the other locations are data centres. */
export const PLATFORM_LOCATION = 'platform';

interface Link {
  /** Location of the connecting side: a data centre or the platform. */
  readonly from: string;
  readonly to: string;
  /**
   * Stored as a promise before the relay listens, so that concurrent callers share one
   * relay.
   */
  readonly relay: Promise<Relay>;
}

/**
 * The simulated network between data centres, and between each of them and the
 * platform. Every connection between two locations goes through a relay, so that
 * partitions can be injected.
 */
export class FleetNetwork {
  private readonly links = new Map<string, Link>();
  private readonly states = new Map<string, RelayState>();

  /**
   * Returns the address by which processes in one location connect to a target in
   * another.
   *
   * @param target `IP:port` of the target.
   */
  async resolveAddress(
    from: string,
    to: string,
    target: string,
  ): Promise<string> {
    if (from === to) {
      return target;
    }
    const key = `${from}>${target}`;
    const link = this.links.get(key) ?? {from, to, relay: Relay.listen(target)};
    this.links.set(key, link);
    const relay = await link.relay;
    relay.setState(this.stateBetween(from, to));
    return relay.address;
  }

  /**
   * Returns a host's list entry with the addresses that are reachable from a location.
   */
  async resolveHost(from: string, host: ListedHost): Promise<ListedHost> {
    const resolve = (address: string) =>
      this.resolveAddress(from, host.dataCenter, address);
    return {
      ...host,
      keeperAddress: await resolve(host.keeperAddress),
      routerControlAddress: await resolve(host.routerControlAddress),
    };
  }

  /** Sets the state of all connections between two locations, in both directions. */
  async setState(one: string, other: string, state: RelayState): Promise<void> {
    this.states.set(`${one}|${other}`, state);
    this.states.set(`${other}|${one}`, state);
    for (const link of this.links.values()) {
      const isBetween =
        (link.from === one && link.to === other) ||
        (link.from === other && link.to === one);
      if (isBetween) {
        (await link.relay).setState(state);
      }
    }
  }

  /** Closes all relays. */
  async close(): Promise<void> {
    for (const link of this.links.values()) {
      await (await link.relay).close();
    }
  }

  private stateBetween(from: string, to: string): RelayState {
    return this.states.get(`${from}|${to}`) ?? RelayState.Open;
  }
}
