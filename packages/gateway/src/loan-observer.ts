/** Result of one request for a loan. */
export enum LoanResult {
  /** The lender lent tokens. */
  Lent = 'lent',
  /** The lender had none. */
  Nothing = 'nothing',
  /** No answer came in time. */
  Unanswered = 'unanswered',
}

/** Is told of requests for loans, for metrics. */
export interface LoanObserver {
  /** A request for a loan ended. */
  loanEnded(result: LoanResult): void;
  /** A request was refused without a loan, as a recent round of loans had not served one. */
  refusedWithoutLoan(): void;
}

/** Ignores requests for loans. */
export const NO_LOAN_OBSERVER: LoanObserver = {
  loanEnded: () => undefined,
  refusedWithoutLoan: () => undefined,
};
