import {create} from '@bufbuild/protobuf';
import {BudgetRecordSchema, type BudgetRecord} from '@wisteriadeal/schema';

import {BudgetFold, type FoldedGrant} from '../budget-fold.js';
import {GrantAccount} from '../grant-account.js';
import {loanFor} from '../loans.js';
import {UnansweredLoans} from '../unanswered-loans.js';

const ORGANISATION = 'school';
/** The part of the rest that hosts may hold together. */
export const POOLED_PART = 0.4;

type Change = Exclude<BudgetRecord['change'], {case: undefined}>;

/** One process: its account, and records that are not on the log yet. */
interface ModelHost {
  incarnation: string;
  sequence: number;
  account: GrantAccount;
  unwritten: BudgetRecord[];
  open: number[];
  /** Bounds of requests that run and deliver nothing yet. */
  promised: number[];
  unanswered: UnansweredLoans;
  /** Answers of lenders that were given up, and may come yet. */
  lateAnswers: LateAnswer[];
}

interface LateAnswer {
  readonly loan: string;
  readonly amount: number;
}

/**
 * Hosts that share one budget on one log, without sockets or time. Each step is one
 * thing that can happen to a process; whatever the order, what was spent stays
 * within what was paid.
 */
export class FleetModel {
  readonly fold = new BudgetFold();
  /** Tokens that requests have used, over all processes that ever ran. */
  spent = 0;
  private readonly hosts: ModelHost[];
  private readonly written: BudgetRecord[] = [];
  private version = 1;
  private starts = 0;
  private loans = 0;
  private mostPaid: number;

  constructor(
    hosts: number,
    private paid: number,
  ) {
    this.mostPaid = paid;
    this.hosts = Array.from({length: hosts}, (_unused, index) =>
      this.start(index),
    );
  }

  /** The most that was ever paid. */
  get prepaid(): number {
    return this.mostPaid;
  }

  /** The budget of the newest configuration. */
  get newestPrepaid(): number {
    return this.paid;
  }

  /** What the fold keeps of all grants together. */
  get foldedSums(): FoldedGrant {
    const {outstanding = 0, held = 0} =
      this.fold.organisations.get(ORGANISATION) ?? {};
    return {outstanding, held};
  }

  /** What the fold has granted and not got back: the most that may be spent or held. */
  get charged(): number {
    const {outstanding = 0, closedCharge = 0} =
      this.fold.organisations.get(ORGANISATION) ?? {};
    return outstanding + closedCharge;
  }

  /** What the fold keeps of all grants together, grant by grant. */
  get sumsOverHolders(): FoldedGrant {
    const sums = {outstanding: 0, held: 0};
    for (const {grants} of this.fold.holders.values()) {
      sums.outstanding += grants.get(ORGANISATION)?.outstanding ?? 0;
      sums.held += grants.get(ORGANISATION)?.held ?? 0;
    }
    return sums;
  }

  /** What processes hold and have not used. */
  get held(): number {
    return this.hosts.reduce((sum, {account}) => sum + account.held, 0);
  }

  ask(host: number, wish: number, least: number, urgent: boolean): void {
    this.add(this.at(host), {
      case: 'requested',
      value: {
        $typeName: 'wisteriadeal.v1.GrantRequested',
        organisation: ORGANISATION,
        wish,
        least,
        urgent,
        prepaid: this.paid,
        configurationVersion: this.version,
        held: this.at(host).account.held,
        pooledPart: POOLED_PART,
      },
    });
  }

  begin(host: number, bound: number): void {
    const {account, open} = this.at(host);
    if (account.reserve(bound, 0)) {
      open.push(bound);
    }
  }

  /** A request begins whose tokens are taken when its answer is there. */
  promise(host: number, bound: number): void {
    const {account, promised} = this.at(host);
    account.promise(bound, 0);
    promised.push(bound);
  }

  /** The answer to the newest such request is there. */
  deliver(host: number): void {
    const {account, open, promised} = this.at(host);
    const bound = promised.at(-1);
    if (bound !== undefined && account.keepPromise(bound)) {
      promised.pop();
      open.push(bound);
    }
  }

  /** The newest such request ends without an answer. */
  dropPromise(host: number): void {
    const {account, promised} = this.at(host);
    const bound = promised.pop();
    if (bound !== undefined) {
      account.dropPromise(bound);
    }
  }

  /** A request ends, having used a part of its bound. */
  end(host: number, part: number): void {
    const {account, open} = this.at(host);
    const bound = open.pop();
    if (bound !== undefined) {
      const used = Math.floor(bound * part);
      account.settle(bound, used);
      this.spent += used;
    }
  }

  giveBack(host: number, tokens: number): void {
    const {account} = this.at(host);
    const amount = account.debit(tokens);
    this.add(this.at(host), {
      case: 'returned',
      value: {
        $typeName: 'wisteriadeal.v1.GrantReturned',
        organisation: ORGANISATION,
        amount,
        held: account.held,
      },
    });
  }

  lend(from: number, to: number, wish: number, isAnswerLost: boolean): void {
    const lender = this.at(from);
    const borrower = this.at(to);
    if (lender === borrower) {
      return;
    }
    const {account} = lender;
    const amount = account.debit(loanFor(account, 1, wish));
    const loan = `loan-${this.loans++}`;
    this.add(lender, {
      case: 'lent',
      value: {
        $typeName: 'wisteriadeal.v1.GrantLent',
        organisation: ORGANISATION,
        borrower: borrower.incarnation,
        amount,
        held: account.held,
        loan,
      },
    });
    if (isAnswerLost) {
      borrower.unanswered.lost(loan);
      borrower.lateAnswers.push({loan, amount});
    } else {
      borrower.account.credit(amount);
    }
  }

  /** The newest answer that was given up arrives nevertheless. */
  answerLate(host: number): void {
    const {account, unanswered, lateAnswers} = this.at(host);
    const answer = lateAnswers.pop();
    if (answer !== undefined) {
      account.credit(unanswered.answeredLate(answer.loan, answer.amount));
    }
  }

  /** Appends what a process has not written; verdicts reach it at once. */
  write(host: number): void {
    const {unwritten} = this.at(host);
    for (const record of unwritten.splice(0)) {
      this.append(record);
    }
  }

  /** An append that was made before is executed again, however old. */
  repeat(index: number): void {
    const record = this.written[index % Math.max(1, this.written.length)];
    if (record !== undefined) {
      this.append(record);
    }
  }

  /**
   * The process dies with all that it knew. Open requests may be used whole; of those
   * that were promised nothing was delivered.
   */
  restart(host: number): void {
    const index = host % this.hosts.length;
    for (const bound of this.at(host).open) {
      this.spent += bound;
    }
    this.hosts[index] = this.start(index);
  }

  topUp(tokens: number): void {
    this.paid += tokens;
    this.mostPaid = Math.max(this.mostPaid, this.paid);
    this.version++;
  }

  /** A configuration sets the budget to less, below what was used perhaps. */
  lower(tokens: number): void {
    this.paid = Math.max(0, this.paid - tokens);
    this.version++;
  }

  private at(host: number): ModelHost {
    const found = this.hosts[host % this.hosts.length];
    if (found === undefined) {
      throw new RangeError('a fleet has a host');
    }
    return found;
  }

  private start(index: number): ModelHost {
    const host: ModelHost = {
      incarnation: `start-${this.starts++}`,
      sequence: 0,
      account: new GrantAccount(),
      unwritten: [],
      open: [],
      promised: [],
      unanswered: new UnansweredLoans(),
      lateAnswers: [],
    };
    this.add(host, {
      case: 'opened',
      value: {
        $typeName: 'wisteriadeal.v1.HolderOpened',
        host: `host-${index}`,
        address: `10.0.0.${index}:1`,
      },
    });
    return host;
  }

  private add(host: ModelHost, change: Change): void {
    host.sequence++;
    const {incarnation, sequence} = host;
    host.unwritten.push(
      create(BudgetRecordSchema, {incarnation, sequence, change}),
    );
  }

  private append(record: BudgetRecord): void {
    this.written.push(record);
    const outcome = this.fold.apply(record);
    const host = this.hosts.find(
      ({incarnation}) => incarnation === outcome?.incarnation,
    );
    if (
      outcome === undefined ||
      outcome.kind === 'opening' ||
      host === undefined
    ) {
      return;
    }
    host.account.credit(
      outcome.kind === 'grant'
        ? outcome.granted
        : host.unanswered.recorded(outcome.loan, outcome.amount),
    );
  }
}
