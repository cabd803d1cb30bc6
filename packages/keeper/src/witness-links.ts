import type {Clock} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';

import type {MembershipTable} from './membership-table.js';
import type {PeerClients} from './peer-clients.js';
import {WitnessLink, type SnapshotSource} from './witness-link.js';

/** One link for each witness of this keeper's grants. */
export class WitnessLinks {
  private readonly links = new Map<string, WitnessLink>();
  private readonly tasks = new Set<Promise<void>>();
  private source: SnapshotSource = () => [];

  constructor(
    private readonly membership: MembershipTable,
    private readonly peers: PeerClients,
    private readonly acknowledgeLimitMilliseconds: number,
    private readonly clock: Clock,
    private readonly eventLog: EventLog,
  ) {}

  /** Sets where the books of a new stream come from. */
  setSnapshotSource(source: SnapshotSource): void {
    this.source = source;
  }

  /** The link to a witness; undefined where it is not known how to reach it. */
  to(witness: string): WitnessLink | undefined {
    const known = this.links.get(witness);
    if (known !== undefined) {
      return known;
    }
    const peer = this.membership.identityOf(witness);
    if (peer === undefined) {
      return undefined;
    }
    const link = new WitnessLink(
      this.membership.self,
      witness,
      this.peers.client(peer.controlAddress),
      incarnation => this.source(incarnation),
      this.acknowledgeLimitMilliseconds,
      this.clock,
      this.eventLog,
    );
    this.links.set(witness, link);
    const task = link.run();
    this.tasks.add(task);
    return link;
  }

  /** Closes links to witnesses that are not in use. */
  retain(witnesses: ReadonlySet<string>): void {
    for (const [witness, link] of this.links) {
      if (!witnesses.has(witness)) {
        link.close();
        this.links.delete(witness);
      }
    }
  }

  /** Closes every link. */
  async close(): Promise<void> {
    this.retain(new Set());
    await Promise.all(this.tasks);
  }
}
