import {create, type MessageInitShape} from '@bufbuild/protobuf';
import {
  BillSchema,
  LedgerBatchSchema,
  LedgerEntrySchema,
  RequestReservationSchema,
} from '@wisteriadeal/schema';

import type {GrantPolicy} from './grant-policy.js';
import {HolderBook} from './holder-book.js';
import {LedgerFold} from './ledger-fold.js';
import {
  COMPARED_FAILURE_SECONDS,
  type ComparedUser,
  type DrawnRequest,
} from './policy-workload.js';
import {RateEstimate} from './rate-estimate.js';

type EntryKind = NonNullable<
  MessageInitShape<typeof LedgerEntrySchema>['kind']
>;

/** The demand estimate's half-life, as in the keeper. */
const HALF_LIFE_MILLISECONDS = 600_000;
const MILLISECONDS = 1_000;

/** What a holder can reach while a request waits. */
export enum Reach {
  Platform = 'platform',
  Peers = 'peers',
  Nothing = 'nothing',
}

/** One holder of one organisation. */
export class ComparedHolder {
  readonly books: HolderBook[] = [];
  readonly demand = new RateEstimate(HALF_LIFE_MILLISECONDS);
  largestBound = 0;

  constructor(readonly name: string) {}

  /** What can be reserved in all. */
  get spendable(): number {
    return this.books.reduce((sum, book) => sum + book.spendableTokens, 0);
  }

  /** What can be reserved in one piece. */
  get largest(): number {
    return Math.max(0, ...this.books.map(book => book.spendableTokens));
  }
}

/** One organisation under one policy. */
export class ComparedOrganisation {
  readonly holders: readonly ComparedHolder[];
  billed = 0;
  /** Grants and returns on the log; bills share records and are not counted. */
  grantAppends = 0;
  private readonly fold = new LedgerFold();
  private readonly demand = new RateEstimate(HALF_LIFE_MILLISECONDS);
  private offset = 0;
  private counter = 0;

  constructor(
    private readonly user: ComparedUser,
    private readonly policy: GrantPolicy,
    private readonly budget: number,
    holders: number,
  ) {
    this.holders = Array.from(
      {length: holders},
      (_, index) => new ComparedHolder(`holder-${index}`),
    );
    this.append({case: 'topUp', value: {tokens: budget}}, '');
  }

  /** Credited less billed. */
  get remaining(): number {
    return this.budget - this.billed;
  }

  /**
   * Serves a request where the holder has, or can get, its bound.
   *
   * @returns Whether it was served.
   */
  serve(
    holder: ComparedHolder,
    request: DrawnRequest,
    atSecond: number,
    reach: Reach,
  ): boolean {
    holder.largestBound = Math.max(holder.largestBound, request.boundTokens);
    if (holder.largest < request.boundTokens) {
      this.refill(holder, request.boundTokens, atSecond, reach);
    }
    const book = holder.books
      .filter(candidate => candidate.spendableTokens >= request.boundTokens)
      .sort((one, other) => one.spendableTokens - other.spendableTokens)[0];
    if (book === undefined) {
      return false;
    }
    this.counter += 1;
    const requestId = `request-${this.counter}`;
    const {boundTokens, usedTokens} = request;
    book.reserve(
      create(RequestReservationSchema, {reservation: {requestId, boundTokens}}),
    );
    const change = book.settle(
      create(BillSchema, {requestId, tokens: usedTokens}),
    );
    if (change?.kind.case === 'settled') {
      this.billed += usedTokens;
      holder.demand.add(usedTokens, atSecond * MILLISECONDS);
      this.demand.add(usedTokens, atSecond * MILLISECONDS);
      if (reach === Reach.Platform) {
        this.append({case: 'bill', value: change.kind.value}, '');
        book.billFolded(requestId);
      }
    }
    return true;
  }

  /** Lets the policy decide for one holder while the log can be reached. */
  review(
    holder: ComparedHolder,
    atSecond: number,
    waitingBoundTokens: number,
  ): void {
    const totals = this.fold.totals('org');
    const decision = this.policy.decide({
      hasWitness: true,
      spendableTokens: holder.spendable,
      largestSpendableTokens: holder.largest,
      requestedTokens: 0,
      creditedTokens: totals.creditedTokens,
      unallocatedTokens: totals.unallocatedTokens,
      remainingTokens: this.remaining,
      demandTokensPerSecond: holder.demand.perSecond(atSecond * MILLISECONDS),
      totalDemandTokensPerSecond: this.demand.perSecond(
        atSecond * MILLISECONDS,
      ),
      largestBoundTokens: holder.largestBound,
      waitingBoundTokens,
      holdsMost: this.holders.every(
        other => other.spendable <= holder.spendable,
      ),
      holders: this.holders.length,
      partitionSeconds: COMPARED_FAILURE_SECONDS,
      preference: this.user.preference,
    });
    if (decision.askTokens > 0) {
      this.ask(holder, decision.askTokens, decision.minimumTokens);
    }
    if (decision.returnTokens > 0) {
      this.giveBack(holder, decision.returnTokens);
    }
  }

  private refill(
    holder: ComparedHolder,
    bound: number,
    atSecond: number,
    reach: Reach,
  ): void {
    if (reach === Reach.Platform) {
      // Pieces may have to go back first, then one grant is asked for.
      this.review(holder, atSecond, bound);
      if (holder.largest < bound) {
        this.review(holder, atSecond, bound);
      }
    } else if (reach === Reach.Peers) {
      this.transfer(holder, bound);
    }
  }

  private transfer(holder: ComparedHolder, bound: number): void {
    const giver = this.holders
      .flatMap(other => (other === holder ? [] : other.books))
      .sort((one, other) => other.spendableTokens - one.spendableTokens)[0];
    if (giver === undefined || giver.spendableTokens < bound) {
      return;
    }
    const tokens = Math.max(
      bound,
      Math.min(8 * bound, Math.floor(giver.spendableTokens / 2)),
    );
    this.counter += 1;
    const transferId = `transfer-${this.counter}`;
    giver.transferOut({
      $typeName: 'wisteriadeal.v1.Transfer',
      transferId,
      fromGrant: '',
      tokens,
      toHolder: holder.name,
      toWitness: '',
      toDataCenter: '',
    });
    this.open(holder, transferId, tokens);
  }

  private ask(
    holder: ComparedHolder,
    tokens: number,
    minimumTokens: number,
  ): void {
    this.counter += 1;
    const grantId = `grant-${this.counter}`;
    const value = {
      grantId,
      tokens: Math.floor(tokens),
      minimumTokens,
      holder: holder.name,
    };
    this.append({case: 'grant', value}, holder.name);
    const given = this.fold.grant('org', grantId);
    if (given !== undefined) {
      this.open(holder, grantId, given.tokens);
    }
  }

  private giveBack(holder: ComparedHolder, tokens: number): void {
    let left = Math.floor(tokens);
    for (const book of holder.books) {
      const part = Math.min(left, book.spendableTokens);
      if (part > 0 && book.giveBack(part) !== undefined) {
        left -= part;
        const {grantId} = book.opening;
        this.append(
          {case: 'return', value: {grantId, tokens: part}},
          holder.name,
        );
      }
    }
  }

  private open(holder: ComparedHolder, grantId: string, tokens: number): void {
    holder.books.push(
      new HolderBook({
        grantId,
        organisation: 'org',
        tokens,
        holder: holder.name,
        dataCenter: '',
      }),
    );
  }

  private append(kind: EntryKind, writer: string): void {
    this.counter += 1;
    this.grantAppends += kind.case === 'bill' ? 0 : 1;
    this.fold.applyBatch(
      this.offset++,
      create(LedgerBatchSchema, {
        writer,
        entries: [
          create(LedgerEntrySchema, {
            kind,
            entryId: `entry-${this.counter}`,
            organisation: 'org',
          }),
        ],
      }),
    );
  }
}
