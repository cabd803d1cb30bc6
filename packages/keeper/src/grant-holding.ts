import {HolderBook, type GrantTerms} from '@wisteriadeal/ledger';
import type {BookChange, WitnessNomination} from '@wisteriadeal/schema';

import {Acknowledgement} from './witness-link.js';

/**
 * A grant that this keeper holds, with the keepers that witness it:
 *
 * - the witness, which the log names;
 * - the candidate, which is being sent the book;
 * - nominees, which have the book and the entry that would make each of them
 *   the witness, and are confirmed once they have acknowledged it.
 *
 * Each of them must acknowledge a reservation before it is dispatched.
 */
export class GrantHolding {
  readonly book: HolderBook;
  /** The next witness, until it has the book and is nominated. */
  candidate: string | undefined;
  /** Whether the log has closed the grant: nothing can be spent or returned. */
  isClosed = false;
  /**
   * Number of returns that the witnesses have not acknowledged. The grant must
   * not be closed before they are submitted.
   */
  uncommittedReturns = 0;
  /** Whether a return that closes the grant was submitted to the log. */
  isReturning = false;
  private readonly fencingWitnesses = new Set<string>();
  private readonly nominations = new Map<string, WitnessNomination>();
  private readonly confirmedNominees = new Set<string>();

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
   * are all that the log may name, as each of them may be in force on the log.
   */
  get witnesses(): readonly string[] {
    const names = [
      this.witness,
      this.candidate ?? '',
      ...this.nominations.keys(),
    ];
    return [...new Set(names)].filter(name => name !== '');
  }

  /**
   * Whether the grant can be reclaimed if this keeper is lost: the log names a
   * witness, or one has confirmed that it is nominated.
   */
  get hasWitness(): boolean {
    return this.witness !== '' || this.confirmedNominees.size > 0;
  }

  /** The nominated witnesses whose entries the log has not decided. */
  get nominees(): readonly string[] {
    return [...this.nominations.keys()];
  }

  /**
   * Makes a witness required until the log has decided its entry. The entry may
   * be appended by either side, so the nomination can't be withdrawn.
   */
  nominate(witness: string, nomination: WitnessNomination): void {
    this.nominations.set(witness, nomination);
  }

  /** The nominations that no acknowledgement was received for, by witness. */
  get unconfirmedNominations(): readonly (readonly [
    string,
    WitnessNomination,
  ])[] {
    return [...this.nominations].filter(
      ([witness]) => !this.confirmedNominees.has(witness),
    );
  }

  /** Records that a witness has received its nomination. */
  confirmNomination(witness: string): void {
    if (this.nominations.has(witness)) {
      this.confirmedNominees.add(witness);
    }
  }

  /** Ends a nomination once the log has decided its entry. */
  endNomination(witness: string): void {
    this.nominations.delete(witness);
    this.confirmedNominees.delete(witness);
  }

  /** Returns a change with the whole book for one witness. */
  createOpenedChange(witness: string): BookChange {
    return this.book.createOpenedChange(this.nominations.get(witness));
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
