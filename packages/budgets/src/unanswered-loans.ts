/**
 * Number of loans that are tracked. The oldest one is dropped beyond that, which strands
 * its tokens but never creates any. An outage of the store loses the answers to some
 * tens of loans.
 */
const MAXIMUM_LOANS = 4_096;

/** State of one loan at its borrower. */
interface PendingLoan {
  isAnswerLost: boolean;
  /** Tokens in the lender's record, if it was folded before the answer came. */
  recordedTokens: number | undefined;
}

/**
 * Recovers loans whose answer was lost. The lender has already deducted the tokens from
 * its account; its record on the log delivers them. Hosts lend to each other all the
 * time, and a lender can stall or be cut off by a network partition. Without this
 * recovery no account would hold the tokens.
 *
 * Each loan is credited once, by its answer or by its record. The answer takes
 * precedence until the call is abandoned; after that, the first of the two does.
 */
export class UnansweredLoans {
  private readonly loans = new Map<string, PendingLoan>();

  /** Tracks a loan that is being requested. */
  requested(loan: string): void {
    this.loans.set(loan, {isAnswerLost: false, recordedTokens: undefined});
    const [oldest] = this.loans.keys();
    if (oldest !== undefined && this.loans.size > MAXIMUM_LOANS) {
      this.loans.delete(oldest);
    }
  }

  /** Records the lender's answer; the lender's record then credits nothing. */
  answered(loan: string): void {
    this.loans.delete(loan);
  }

  /**
   * Records an answer that came after the call was abandoned.
   *
   * @returns Tokens to credit now; 0 if the record has already credited them.
   * @example
   * ```ts
   * account.credit(loans.answeredLate(loan, lent));
   * ```
   */
  answeredLate(loan: string, lent: number): number {
    return this.loans.delete(loan) ? lent : 0;
  }

  /**
   * Records that the call ended without an answer in time.
   *
   * @returns Tokens to credit now, if the record came first; else 0.
   */
  answerLost(loan: string): number {
    const recordedTokens = this.loans.get(loan)?.recordedTokens;
    if (recordedTokens !== undefined) {
      this.loans.delete(loan);
      return recordedTokens;
    }
    this.loans.set(loan, {isAnswerLost: true, recordedTokens: undefined});
    return 0;
  }

  /**
   * Records that the lender's record was folded.
   *
   * @returns Tokens to credit now; 0 if the answer has credited them or still may.
   */
  recordFolded(loan: string, amount: number): number {
    const pending = this.loans.get(loan);
    if (pending === undefined) {
      return 0;
    }
    if (pending.isAnswerLost) {
      this.loans.delete(loan);
      return amount;
    }
    pending.recordedTokens = amount;
    return 0;
  }
}
