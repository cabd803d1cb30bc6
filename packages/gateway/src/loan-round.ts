import type {RankedLender} from '@wisteriadeal/budgets';

import type {LoanAnswer, LoanRequest} from './loan-peers.js';

/** Requests for loans to several lenders for the same waiting requests. */
export class LoanRound {
  /** Number of lenders asked. */
  asked = 0;
  /**
   * Lenders that reach the store, but were asked only for tokens that they hold. One of
   * them at a time is asked to request tokens there.
   */
  readonly storeLenders: RankedLender[] = [];
  private readonly answers: string[] = [];
  private lent = 0;

  /**
   * @param name Identifies the round in the fleet.
   * @param needed Tokens that the first waiting request lacked.
   */
  constructor(
    readonly name: string,
    private readonly organisation: string,
    private readonly needed: number,
  ) {}

  /**
   * Records a lender's answer, beside what it was expected to have.
   *
   * @param mayFetch Whether it is useful to ask the lender again for tokens of the store.
   */
  recordAnswer(
    lender: RankedLender,
    {loan, least}: LoanRequest,
    {lent, left}: LoanAnswer,
    mayFetch: boolean,
  ): void {
    if (mayFetch && left === undefined && lent < least) {
      this.storeLenders.push(lender);
    }
    this.lent += lent;
    this.answers.push(
      `${lender.address} ${loan}: lent ${lent}, left ${left ?? 'unknown'}, expected ${lender.expected}`,
    );
  }

  /**
   * Describes the round for its log line.
   *
   * @param lacking Tokens that the first waiting request still lacks.
   */
  describe(lacking: number): Readonly<Record<string, string | number>> {
    const {organisation, needed, asked, lent, answers} = this;
    return {
      organisation,
      needed,
      lacking,
      asked,
      lent,
      answers: answers.join('; '),
    };
  }
}
