import type {ListedHost} from '@wisteriadeal/platform';

import {Relay, RelayState} from './relay.js';

/** What stands for the platform's place in the network. */
export const PLATFORM_PLACE = 'platform';

interface Link {
  /** Data centre or platform. */
  readonly from: string;
  readonly to: string;
  /** Stored before it listens, so that two askers get the same one. */
  readonly relay: Promise<Relay>;
}

/**
 * The network between data centres, and between each of them and the platform:
 * every crossing goes through a relay, so that it can be cut.
 */
export class FleetNetwork {
  private readonly links = new Map<string, Link>();
  private readonly states = new Map<string, RelayState>();

  /** The address by which a place reaches a target in another place. */
  async reach(from: string, to: string, target: string): Promise<string> {
    if (from === to) {
      return target;
    }
    const key = `${from}>${target}`;
    const link = this.links.get(key) ?? {from, to, relay: Relay.listen(target)};
    this.links.set(key, link);
    const relay = await link.relay;
    relay.set(this.stateBetween(from, to));
    return relay.address;
  }

  /** A host as a viewer in another place reaches it. */
  async view(from: string, host: ListedHost): Promise<ListedHost> {
    const reach = (address: string) =>
      this.reach(from, host.dataCenter, address);
    return {
      ...host,
      keeperAddress: await reach(host.keeperAddress),
      routerControlAddress: await reach(host.routerControlAddress),
    };
  }

  /** Cuts or heals between two places, both ways. */
  async set(one: string, other: string, state: RelayState): Promise<void> {
    this.states.set(`${one}|${other}`, state);
    this.states.set(`${other}|${one}`, state);
    for (const link of this.links.values()) {
      const between =
        (link.from === one && link.to === other) ||
        (link.from === other && link.to === one);
      if (between) {
        (await link.relay).set(state);
      }
    }
  }

  /** Ends every relay. */
  async close(): Promise<void> {
    for (const link of this.links.values()) {
      await (await link.relay).close();
    }
  }

  private stateBetween(from: string, to: string): RelayState {
    return this.states.get(`${from}|${to}`) ?? RelayState.Open;
  }
}
