import {HolderBook, type GrantTerms} from '@wisteriadeal/ledger';

import {Acknowledgement} from './witness-link.js';

/** A grant that this keeper holds. */
export class GrantHolding {
  readonly book: HolderBook;
  /** The next witness, until the log has decided the change of witness. */
  candidate: string | undefined;
  /** Whether the log has closed the grant: nothing can be spent or returned. */
  isClosed = false;
  /** Whether a return that closes the grant was submitted to the log. */
  isReturning = false;
  private readonly fencingWitnesses = new Set<string>();

  /** @param witness The witness in force on the log; empty if there is none. */
  constructor(
    terms: GrantTerms,
    public witness: string,
  ) {
    this.book = new HolderBook(terms);
  }

  get grantId(): string {
    return this.book.grant.grantId;
  }

  /** Tokens that can be reserved now; 0 while the grant is closed or fenced. */
  get spendableTokens(): number {
    return this.isClosed || this.isFenced ? 0 : this.book.spendableTokens;
  }

  /**
   * Whether a witness that must acknowledge changes has fenced the grant. Only
   * the log decides whether the grant is reclaimed: it refuses the reclaim of a
   * witness that is no longer in force, and the grant stays with this keeper.
   */
  get isFenced(): boolean {
    return this.witnesses.some(witness => this.fencingWitnesses.has(witness));
  }

  /**
   * Witnesses that must acknowledge changes. During a change of witness these
   * are both, as either may be the one in force on the log.
   */
  get witnesses(): readonly string[] {
    return [this.witness, this.candidate ?? ''].filter(name => name !== '');
  }

  /** Records the last acknowledgement of a witness. */
  recordAcknowledgement(
    witness: string,
    acknowledgement: Acknowledgement,
  ): void {
    if (acknowledgement === Acknowledgement.Fenced) {
      this.fencingWitnesses.add(witness);
    } else if (acknowledgement === Acknowledgement.Applied) {
      this.fencingWitnesses.delete(witness);
    }
  }
}
