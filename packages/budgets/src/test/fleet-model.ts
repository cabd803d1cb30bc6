import {create} from '@bufbuild/protobuf';
import {BudgetRecordSchema, type BudgetRecord} from '@wisteriadeal/schema';

import {BudgetFold, type FoldedGrant} from '../budget-fold.js';
import {GrantAccount} from '../grant-account.js';
import {loanAmount} from '../loans.js';
import {UnansweredLoans} from '../unanswered-loans.js';

const ORGANISATION = 'school';
/** Part of the remaining budget that all hosts together may hold. */
export const POOLED_PART = 0.4;

type Change = Exclude<BudgetRecord['change'], {case: undefined}>;

/** One process with its account and the records that are not on the log yet. */
interface ModelHost {
  incarnation: string;
  sequence: number;
  account: GrantAccount;
  unwritten: BudgetRecord[];
  /** Bounds of requests with reserved tokens. */
  reserved: number[];
  /** Bounds of running requests that have delivered nothing yet. */
  promised: number[];
  unanswered: UnansweredLoans;
  /** Answers to abandoned loan calls, which may still arrive. */
  lateAnswers: LateAnswer[];
}

interface LateAnswer {
  readonly loan: string;
  readonly amount: number;
}

/**
 * Model of hosts that share one budget on one log, without sockets or time. Each method
 * is one operation of a process. In any order of operations, spending stays within the
 * prepaid total.
 */
export class FleetModel {
  readonly fold = new BudgetFold();
  /** Tokens that requests of all processes, running or ended, have used. */
  spent = 0;
  private readonly hosts: ModelHost[];
  private readonly written: BudgetRecord[] = [];
  private version = 1;
  private starts = 0;
  private loans = 0;
  private highestPrepaid: number;

  constructor(
    hosts: number,
    private currentPrepaid: number,
  ) {
    this.highestPrepaid = currentPrepaid;
    this.hosts = Array.from({length: hosts}, (_unused, index) =>
      this.start(index),
    );
  }

  /** Largest prepaid total of any configuration so far. */
  get maximumPrepaid(): number {
    return this.highestPrepaid;
  }

  /** Prepaid total of the newest configuration. */
  get newestPrepaid(): number {
    return this.currentPrepaid;
  }

  /** Sums over all grants as the fold maintains them. */
  get foldedSums(): FoldedGrant {
    const {outstanding = 0, held = 0} =
      this.fold.organisations.get(ORGANISATION) ?? {};
    return {outstanding, held};
  }

  /** Tokens granted and not returned: the maximum that may be spent or held. */
  get charged(): number {
    const {outstanding = 0, closedCharge = 0} =
      this.fold.organisations.get(ORGANISATION) ?? {};
    return outstanding + closedCharge;
  }

  /** Sums over all grants, computed grant by grant. */
  get sumsOverHolders(): FoldedGrant {
    const sums = {outstanding: 0, held: 0};
    for (const {grants} of this.fold.holders.values()) {
      sums.outstanding += grants.get(ORGANISATION)?.outstanding ?? 0;
      sums.held += grants.get(ORGANISATION)?.held ?? 0;
    }
    return sums;
  }

  /** Unspent tokens in the accounts of all processes. */
  get held(): number {
    return this.hosts.reduce((sum, {account}) => sum + account.held, 0);
  }

  requestGrant(
    host: number,
    wish: number,
    least: number,
    urgent: boolean,
  ): void {
    this.add(this.hostAt(host), {
      case: 'requested',
      value: {
        $typeName: 'wisteriadeal.v1.GrantRequested',
        organisation: ORGANISATION,
        wish,
        least,
        urgent,
        prepaid: this.currentPrepaid,
        configurationVersion: this.version,
        held: this.hostAt(host).account.held,
        pooledPart: POOLED_PART,
      },
    });
  }

  reserve(host: number, bound: number): void {
    const {account, reserved} = this.hostAt(host);
    if (account.reserve(bound, 0)) {
      reserved.push(bound);
    }
  }

  /** Starts a request whose tokens are reserved when its answer is delivered. */
  promise(host: number, bound: number): void {
    const {account, promised} = this.hostAt(host);
    account.promise(bound, 0);
    promised.push(bound);
  }

  /** Delivers the answer to the newest promised request. */
  deliver(host: number): void {
    const {account, reserved, promised} = this.hostAt(host);
    const bound = promised.at(-1);
    if (bound !== undefined && account.reservePromised(bound)) {
      promised.pop();
      reserved.push(bound);
    }
  }

  /** Ends the newest promised request without an answer. */
  cancelPromise(host: number): void {
    const {account, promised} = this.hostAt(host);
    const bound = promised.pop();
    if (bound !== undefined) {
      account.cancelPromise(bound);
    }
  }

  /** Ends a request that used a part of its bound. */
  settle(host: number, part: number): void {
    const {account, reserved} = this.hostAt(host);
    const bound = reserved.pop();
    if (bound !== undefined) {
      const used = Math.floor(bound * part);
      account.settle(bound, used);
      this.spent += used;
    }
  }

  returnTokens(host: number, tokens: number): void {
    const {account} = this.hostAt(host);
    const amount = account.debit(tokens);
    this.add(this.hostAt(host), {
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
    const lender = this.hostAt(from);
    const borrower = this.hostAt(to);
    if (lender === borrower) {
      return;
    }
    const {account} = lender;
    const amount = account.debit(loanAmount(account, 1, wish));
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
      borrower.unanswered.answerLost(loan);
      borrower.lateAnswers.push({loan, amount});
    } else {
      borrower.account.credit(amount);
    }
  }

  /** Receives the newest answer to an abandoned loan call. */
  receiveLateAnswer(host: number): void {
    const {account, unanswered, lateAnswers} = this.hostAt(host);
    const answer = lateAnswers.pop();
    if (answer !== undefined) {
      account.credit(unanswered.answeredLate(answer.loan, answer.amount));
    }
  }

  /** Appends a process's unwritten records; their outcomes reach it at once. */
  flush(host: number): void {
    const {unwritten} = this.hostAt(host);
    for (const record of unwritten.splice(0)) {
      this.append(record);
    }
  }

  /** Executes an earlier append again. */
  replay(index: number): void {
    const record = this.written[index % Math.max(1, this.written.length)];
    if (record !== undefined) {
      this.append(record);
    }
  }

  /**
   * Kills a process, which loses its state, and starts its successor. Requests with
   * reserved tokens may have used their whole bound; promised requests delivered nothing.
   */
  restart(host: number): void {
    const index = host % this.hosts.length;
    for (const bound of this.hostAt(host).reserved) {
      this.spent += bound;
    }
    this.hosts[index] = this.start(index);
  }

  topUp(tokens: number): void {
    this.currentPrepaid += tokens;
    this.highestPrepaid = Math.max(this.highestPrepaid, this.currentPrepaid);
    this.version++;
  }

  /** Lowers the budget by a new configuration, possibly below the tokens used. */
  lowerBudget(tokens: number): void {
    this.currentPrepaid = Math.max(0, this.currentPrepaid - tokens);
    this.version++;
  }

  private hostAt(host: number): ModelHost {
    const found = this.hosts[host % this.hosts.length];
    if (found === undefined) {
      throw new RangeError('the fleet model has no hosts');
    }
    return found;
  }

  private start(index: number): ModelHost {
    const host: ModelHost = {
      incarnation: `start-${this.starts++}`,
      sequence: 0,
      account: new GrantAccount(),
      unwritten: [],
      reserved: [],
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
        dataCenter: 'a',
        region: '',
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
        : host.unanswered.recordFolded(outcome.loan, outcome.amount),
    );
  }
}
