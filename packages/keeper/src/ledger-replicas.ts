import {ledgerStreamOf, type LedgerFold} from '@wisteriadeal/ledger';

import {LedgerReplica, type LedgerListener} from './ledger-replica.js';

/** All ledger streams of the fleet. */
export class LedgerReplicas {
  readonly all: readonly LedgerReplica[];

  /** @param ledgerStreams Number of streams. */
  constructor(private readonly ledgerStreams: number) {
    this.all = Array.from(
      {length: ledgerStreams},
      (_, index) => new LedgerReplica(`ledger-${index}`),
    );
  }

  /** The stream of an organisation. */
  streamOf(organisation: string): string {
    return ledgerStreamOf(organisation, this.ledgerStreams);
  }

  /** The fold that holds an organisation. */
  ledgerOf(organisation: string): LedgerFold {
    const stream = this.streamOf(organisation);
    const replica = this.all.find(candidate => candidate.stream === stream);
    if (replica === undefined) {
      throw new Error(`there is no stream ${stream}`);
    }
    return replica.ledger;
  }

  /** Adds a listener to every stream. */
  listen(listener: LedgerListener): void {
    this.all.forEach(replica => {
      replica.listen(listener);
    });
  }
}
