import {HolderBook, type GrantOpening} from '@wisteriadeal/ledger';

import {Acknowledgement} from './witness-link.js';

/** One grant that this keeper holds. */
export class GrantHolding {
  readonly book: HolderBook;
  /** A witness that is to take over, once the log says so. */
  candidate: string | undefined;
  /** The fold closed it: nothing can be spent, and nothing is left to return. */
  isClosed = false;
  /** A closing return is on its way. */
  returning = false;
  private readonly fencingWitnesses = new Set<string>();

  /** @param witness The witness in force on the log; empty where there is none. */
  constructor(
    opening: GrantOpening,
    public witness: string,
  ) {
    this.book = new HolderBook(opening);
  }

  /** The grant's identifier. */
  get grantId(): string {
    return this.book.opening.grantId;
  }

  /** What can be reserved here now. */
  get spendableTokens(): number {
    return this.isClosed || this.isFenced ? 0 : this.book.spendableTokens;
  }

  /**
   * Whether a witness that must acknowledge has fenced it. Only the log says whether
   * the grant is taken back: the record of a witness that is no longer in force is
   * refused there, and the grant stays with this keeper.
   */
  get isFenced(): boolean {
    return this.witnesses.some(witness => this.fencingWitnesses.has(witness));
  }

  /** Witnesses that must acknowledge: until the log decides, both may count. */
  get witnesses(): readonly string[] {
    return [this.witness, this.candidate ?? ''].filter(name => name !== '');
  }

  /** Notes what a witness said last. */
  answered(witness: string, acknowledgement: Acknowledgement): void {
    if (acknowledgement === Acknowledgement.Fenced) {
      this.fencingWitnesses.add(witness);
    } else if (acknowledgement === Acknowledgement.Applied) {
      this.fencingWitnesses.delete(witness);
    }
  }
}
