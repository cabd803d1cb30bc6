/**
 * Names of lost loans that are remembered; the oldest is forgotten, which strands
 * its tokens and creates none. Some tens are lost in an outage of the store.
 */
const MOST_REMEMBERED = 4_096;

/** How far one loan has come, as its borrower knows it. */
interface AskedLoan {
  isAnswerLost: boolean;
  /** What the lender's record gave, where it came before the answer. */
  recorded: number | undefined;
}

/**
 * Loans whose answer was lost: the lender has taken the tokens off its account, and
 * its record on the log brings them. Load: hosts lend each other all the time, and
 * lenders freeze or are cut off. Harm without it: the tokens are nobody's.
 *
 * Each loan is taken once: by its answer or by its record. Until the call is given up
 * the answer decides; after that, whichever comes first.
 */
export class UnansweredLoans {
  private readonly loans = new Map<string, AskedLoan>();

  /** A loan is being asked for. */
  asked(loan: string): void {
    this.loans.set(loan, {isAnswerLost: false, recorded: undefined});
    const [oldest] = this.loans.keys();
    if (oldest !== undefined && this.loans.size > MOST_REMEMBERED) {
      this.loans.delete(oldest);
    }
  }

  /** The lender answered: its record brings nothing more. */
  answered(loan: string): void {
    this.loans.delete(loan);
  }

  /**
   * The answer came after the call was given up.
   *
   * @returns Tokens to credit now; 0 where the record brought them.
   * @example
   * ```ts
   * account.credit(loans.answeredLate(loan, lent));
   * ```
   */
  answeredLate(loan: string, lent: number): number {
    return this.loans.delete(loan) ? lent : 0;
  }

  /**
   * The call ended without an answer in time.
   *
   * @returns Tokens to credit now: the record came first.
   */
  lost(loan: string): number {
    const recorded = this.loans.get(loan)?.recorded;
    if (recorded !== undefined) {
      this.loans.delete(loan);
      return recorded;
    }
    this.loans.set(loan, {isAnswerLost: true, recorded: undefined});
    return 0;
  }

  /**
   * The lender's record was folded.
   *
   * @returns Tokens to credit now; 0 where the answer brought or may bring them.
   */
  recorded(loan: string, amount: number): number {
    const asked = this.loans.get(loan);
    if (asked === undefined) {
      return 0;
    }
    if (asked.isAnswerLost) {
      this.loans.delete(loan);
      return amount;
    }
    asked.recorded = amount;
    return 0;
  }
}
