import type {Clock} from '@wisteriadeal/platform';
import type {EventLog} from '@wisteriadeal/runtime';
import type {LedgerEntry, ProcessIdentity} from '@wisteriadeal/schema';

import type {MembershipTable} from './membership-table.js';
import type {PeerClients} from './peer-clients.js';

/** Maximum number of entries per message; with bills, about 100 KiB. */
const MAXIMUM_ENTRIES = 400;
/** Timeout of one message to a peer. */
const COPY_TIMEOUT_MILLISECONDS = 1_000;
/** Time for which a peer that did not answer gets no entries. */
const PAUSE_AFTER_FAILURE_MILLISECONDS = 500;

/** An entry with the peers that have a copy of it. */
export interface CopiedEntry {
  readonly entry: LedgerEntry;
  /** Incarnations of the peers. */
  readonly copiedTo: Set<string>;
  /** Called when the first peer has the entry. */
  readonly onCopied: () => void;
}

/**
 * Sends entries that this keeper can't append to peers, which append them in
 * its name. They would be lost with this keeper otherwise.
 *
 * One peer of this data centre and one of another get a copy: the first is
 * likely to stay reachable, the second to reach the log.
 */
export class EntryCopies {
  private readonly pausedUntil = new Map<string, number>();

  constructor(
    private readonly membership: MembershipTable,
    private readonly peers: PeerClients,
    private readonly clock: Clock,
    private readonly eventLog: EventLog,
  ) {}

  /**
   * Sends each entry to the chosen peers that have no copy of it.
   *
   * @param writer Incarnation in whose name the peers append the entries.
   * @returns Whether all chosen peers have all entries.
   */
  async send(
    stream: string,
    writer: string,
    entries: readonly CopiedEntry[],
  ): Promise<boolean> {
    const results = await Promise.all(
      this.chosenPeers.map(peer => this.sendTo(peer, stream, writer, entries)),
    );
    return results.every(result => result);
  }

  private get chosenPeers(): readonly ProcessIdentity[] {
    const {self, reachablePeers} = this.membership;
    const others = reachablePeers.filter(({host}) => host !== self.host);
    const local = others.find(({dataCenter}) => dataCenter === self.dataCenter);
    const remote = others.find(
      ({dataCenter}) => dataCenter !== self.dataCenter,
    );
    return [local, remote].filter(peer => peer !== undefined);
  }

  private async sendTo(
    {incarnation, controlAddress}: ProcessIdentity,
    stream: string,
    writer: string,
    entries: readonly CopiedEntry[],
  ): Promise<boolean> {
    const now = this.clock.monotonicMilliseconds();
    if (now < (this.pausedUntil.get(incarnation) ?? 0)) {
      return true;
    }
    const missing = entries
      .filter(({copiedTo}) => !copiedTo.has(incarnation))
      .slice(0, MAXIMUM_ENTRIES);
    if (missing.length === 0) {
      return true;
    }
    try {
      await this.peers.client(controlAddress).keepEntries(
        {
          writer,
          stream,
          entries: missing.map(({entry}) => entry),
        },
        {timeoutMs: COPY_TIMEOUT_MILLISECONDS},
      );
    } catch (error) {
      this.pausedUntil.set(
        incarnation,
        this.clock.monotonicMilliseconds() + PAUSE_AFTER_FAILURE_MILLISECONDS,
      );
      this.eventLog.debug('peer keeps no entries', {
        peer: incarnation,
        stream,
        reason: String(error),
      });
      return true;
    }
    missing.forEach(({copiedTo, onCopied}) => {
      copiedTo.add(incarnation);
      onCopied();
    });
    return false;
  }
}
