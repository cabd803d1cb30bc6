import {ledgerStreamOf, type LedgerFold} from '@wisteriadeal/ledger';

import {LedgerReplica, type LedgerListener} from './ledger-replica.js';

/** All ledger streams of the fleet. */
export class LedgerReplicas {
  readonly all: readonly LedgerReplica[];
  /** Streams by organisation: hashing at each look took most of a review. */
  private readonly byOrganisation = new Map<string, LedgerReplica>();

  /** @param ledgerStreams Number of streams. */
  constructor(private readonly ledgerStreams: number) {
    this.all = Array.from(
      {length: ledgerStreams},
      (_, index) => new LedgerReplica(`ledger-${index}`),
    );
  }

  /** The stream of an organisation. */
  streamOf(organisation: string): string {
    return this.replicaOf(organisation).stream;
  }

  /** The fold that holds an organisation. */
  ledgerOf(organisation: string): LedgerFold {
    return this.replicaOf(organisation).ledger;
  }

  /** Adds a listener to every stream. */
  listen(listener: LedgerListener): void {
    this.all.forEach(replica => {
      replica.listen(listener);
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
      throw new Error(`there is no stream ${stream}`);
    }
    this.byOrganisation.set(organisation, replica);
    return replica;
  }
}
