import {ledgerStreamOf, type LedgerFold} from '@wisteriadeal/ledger';

import {LedgerReplica, type LedgerListener} from './ledger-replica.js';

/** Replicas of all ledger streams of the fleet. */
export class LedgerReplicas {
  readonly all: readonly LedgerReplica[];
  /**
   * Replica by organisation; hashing the name at each lookup took most of a
   * review's time.
   */
  private readonly byOrganisation = new Map<string, LedgerReplica>();

  /** @param ledgerStreams Number of ledger streams. */
  constructor(private readonly ledgerStreams: number) {
    this.all = Array.from(
      {length: ledgerStreams},
      (_, index) => new LedgerReplica(`ledger-${index}`),
    );
  }

  /** Returns the name of an organisation's stream. */
  streamOf(organisation: string): string {
    return this.replicaOf(organisation).stream;
  }

  /** Returns the folded ledger that contains an organisation. */
  ledgerOf(organisation: string): LedgerFold {
    return this.replicaOf(organisation).ledger;
  }

  /** Adds a listener to every stream. */
  addListener(listener: LedgerListener): void {
    this.all.forEach(replica => {
      replica.addListener(listener);
    });
  }

  private replicaOf(organisation: string): LedgerReplica {
    const known = this.byOrganisation.get(organisation);
    if (known !== undefined) {
      return known;
    }
    const stream = ledgerStreamOf(organisation, this.ledgerStreams);
    const replica = this.all.find(candidate => candidate.stream === stream);
    if (replica === undefined) {
      throw new Error(`ledger stream ${stream} does not exist`);
    }
    this.byOrganisation.set(organisation, replica);
    return replica;
  }
}
