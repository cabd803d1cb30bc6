import {HolderBook, type GrantOpening} from '@wisteriadeal/ledger';

/** One grant that this keeper holds. */
export class GrantHolding {
  readonly book: HolderBook;
  /** A witness that is to take over, once the log says so. */
  candidate: string | undefined;
  /** The witness fenced it, or the fold closed it: nothing can be spent. */
  fenced = false;
  /** A closing return is on its way. */
  returning = false;

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
    return this.fenced ? 0 : this.book.spendableTokens;
  }

  /** Witnesses that must acknowledge: until the log decides, both may count. */
  get witnesses(): readonly string[] {
    return [this.witness, this.candidate ?? ''].filter(name => name !== '');
  }
}
