import type {Clock} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';

import type {MembershipTable} from './membership-table.js';
import type {PeerClients} from './peer-clients.js';
import {WitnessLink, type SnapshotSource} from './witness-link.js';

/** The links to the witnesses of this keeper's grants, one per witness. */
export class WitnessLinks {
  private readonly links = new Map<string, WitnessLink>();
  private readonly tasks = new Set<Promise<void>>();
  private snapshotSource: SnapshotSource = () => [];
  private openedStreams = 0;

  constructor(
    private readonly membership: MembershipTable,
    private readonly peers: PeerClients,
    private readonly acknowledgementTimeoutMilliseconds: number,
    private readonly clock: Clock,
    private readonly eventLog: EventLog,
  ) {}

  /** Sets the source of the full books that are sent on a new stream. */
  setSnapshotSource(source: SnapshotSource): void {
    this.snapshotSource = source;
  }

  /**
   * Returns the link to a witness, creating it on first use; undefined if the
   * witness is unknown.
   */
  linkTo(witness: string): WitnessLink | undefined {
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
      incarnation => this.snapshotSource(incarnation),
      () => ++this.openedStreams,
      this.acknowledgementTimeoutMilliseconds,
      this.clock,
      this.eventLog,
    );
    this.links.set(witness, link);
    const task = link.run();
    this.tasks.add(task);
    return link;
  }

  /** Closes all links except those to the given witnesses. */
  retain(witnesses: ReadonlySet<string>): void {
    for (const [witness, link] of this.links) {
      if (!witnesses.has(witness)) {
        link.close();
        this.links.delete(witness);
      }
    }
  }

  /** Closes all links and waits until their tasks have ended. */
  async close(): Promise<void> {
    this.retain(new Set());
    await Promise.all(this.tasks);
  }
}
