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
  SIMULATED_FAILURE_SECONDS,
  type SimulatedFleet,
  type SimulatedRequest,
} from './simulated-workload.js';
import {RateEstimate} from './rate-estimate.js';

type EntryKind = NonNullable<
  MessageInitShape<typeof LedgerEntrySchema>['kind']
>;

/** Half-life of the demand estimates; the same as in the keeper. */
const DEMAND_HALF_LIFE_MILLISECONDS = 600_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** What a holder can reach while a request waits for tokens. */
export enum Connectivity {
  /** The log of the platform. */
  Platform = 'platform',
  /** Other holders only. */
  Peers = 'peers',
  None = 'nothing',
}

/** A simulated holder of one organisation. */
export class SimulatedHolder {
  readonly books: HolderBook[] = [];
  readonly demand = new RateEstimate(DEMAND_HALF_LIFE_MILLISECONDS);
  largestBoundTokens = 0;

  constructor(readonly name: string) {}

  /** Tokens that can be reserved, summed over all books. */
  get spendableTokens(): number {
    return this.books.reduce((sum, book) => sum + book.spendableTokens, 0);
  }

  /** Largest amount that can be reserved in one book. */
  get largestSpendableTokens(): number {
    return Math.max(0, ...this.books.map(book => book.spendableTokens));
  }
}

/** Simulates the budget of one organisation under one policy. */
export class SimulatedOrganisation {
  readonly holders: readonly SimulatedHolder[];
  billedTokens = 0;
  /**
   * Number of appended entries: the top-up, grants and returns. Bills are not
   * counted, since they are batched into shared records.
   */
  grantAppends = 0;
  private readonly fold = new LedgerFold();
  private readonly demand = new RateEstimate(DEMAND_HALF_LIFE_MILLISECONDS);
  private nextOffset = 0;
  private lastIdentifier = 0;

  constructor(
    private readonly fleet: SimulatedFleet,
    private readonly policy: GrantPolicy,
    private readonly budgetTokens: number,
    holders: number,
  ) {
    this.holders = Array.from(
      {length: holders},
      (_, index) => new SimulatedHolder(`holder-${index}`),
    );
    this.append({case: 'topUp', value: {tokens: budgetTokens}}, '');
  }

  /** Credited minus billed tokens. */
  get remainingTokens(): number {
    return this.budgetTokens - this.billedTokens;
  }

  /**
   * Serves a request if the holder has its bound or can obtain it.
   *
   * @returns Whether the request was served.
   */
  serve(
    holder: SimulatedHolder,
    request: SimulatedRequest,
    atSecond: number,
    connectivity: Connectivity,
  ): boolean {
    holder.largestBoundTokens = Math.max(
      holder.largestBoundTokens,
      request.boundTokens,
    );
    if (holder.largestSpendableTokens < request.boundTokens) {
      this.refill(holder, request.boundTokens, atSecond, connectivity);
    }
    const book = holder.books
      .filter(candidate => candidate.spendableTokens >= request.boundTokens)
      .sort((one, other) => one.spendableTokens - other.spendableTokens)[0];
    if (book === undefined) {
      return false;
    }
    this.lastIdentifier += 1;
    const requestId = `request-${this.lastIdentifier}`;
    const {boundTokens, usedTokens} = request;
    book.reserve(
      create(RequestReservationSchema, {reservation: {requestId, boundTokens}}),
    );
    const change = book.settle(
      create(BillSchema, {requestId, tokens: usedTokens}),
    );
    if (change?.kind.case === 'settled') {
      this.billedTokens += usedTokens;
      holder.demand.add(usedTokens, atSecond * MILLISECONDS_PER_SECOND);
      this.demand.add(usedTokens, atSecond * MILLISECONDS_PER_SECOND);
      if (connectivity === Connectivity.Platform) {
        this.append({case: 'bill', value: change.kind.value}, '');
        book.removeFoldedBill(requestId);
      }
    }
    return true;
  }

  /** Applies the policy to one holder while the log is reachable. */
  review(
    holder: SimulatedHolder,
    atSecond: number,
    waitingBoundTokens: number,
  ): void {
    const totals = this.fold.totals('org');
    const decision = this.policy.decide({
      hasWitness: true,
      spendableTokens: holder.spendableTokens,
      largestSpendableTokens: holder.largestSpendableTokens,
      requestedTokens: 0,
      creditedTokens: totals.creditedTokens,
      unallocatedTokens: totals.unallocatedTokens,
      remainingTokens: this.remainingTokens,
      demandTokensPerSecond: holder.demand.perSecond(
        atSecond * MILLISECONDS_PER_SECOND,
      ),
      totalDemandTokensPerSecond: this.demand.perSecond(
        atSecond * MILLISECONDS_PER_SECOND,
      ),
      largestBoundTokens: holder.largestBoundTokens,
      waitingBoundTokens,
      isLargestHolder: this.holders.every(
        other => other.spendableTokens <= holder.spendableTokens,
      ),
      holders: this.holders.length,
      partitionSeconds: SIMULATED_FAILURE_SECONDS,
      preference: this.fleet.preference,
    });
    if (decision.grantRequestTokens > 0) {
      this.requestGrant(
        holder,
        decision.grantRequestTokens,
        decision.minimumTokens,
      );
    }
    if (decision.returnTokens > 0) {
      this.returnTokens(holder, decision.returnTokens);
    }
  }

  private refill(
    holder: SimulatedHolder,
    bound: number,
    atSecond: number,
    connectivity: Connectivity,
  ): void {
    if (connectivity === Connectivity.Platform) {
      // The first review may only return the tokens of several grants; the
      // second then requests one grant that covers the bound.
      this.review(holder, atSecond, bound);
      if (holder.largestSpendableTokens < bound) {
        this.review(holder, atSecond, bound);
      }
    } else if (connectivity === Connectivity.Peers) {
      this.transfer(holder, bound);
    }
  }

  private transfer(holder: SimulatedHolder, bound: number): void {
    const source = this.holders
      .flatMap(other => (other === holder ? [] : other.books))
      .sort((one, other) => other.spendableTokens - one.spendableTokens)[0];
    if (source === undefined || source.spendableTokens < bound) {
      return;
    }
    const tokens = Math.max(
      bound,
      Math.min(8 * bound, Math.floor(source.spendableTokens / 2)),
    );
    this.lastIdentifier += 1;
    const transferId = `transfer-${this.lastIdentifier}`;
    source.transferOut({
      $typeName: 'wisteriadeal.v1.Transfer',
      transferId,
      fromGrant: '',
      tokens,
      toHolder: holder.name,
      toWitness: '',
      toDataCenter: '',
    });
    this.openBook(holder, transferId, tokens);
  }

  private requestGrant(
    holder: SimulatedHolder,
    tokens: number,
    minimumTokens: number,
  ): void {
    this.lastIdentifier += 1;
    const grantId = `grant-${this.lastIdentifier}`;
    const value = {
      grantId,
      tokens: Math.floor(tokens),
      minimumTokens,
      holder: holder.name,
    };
    this.append({case: 'grant', value}, holder.name);
    const grant = this.fold.grant('org', grantId);
    if (grant !== undefined) {
      this.openBook(holder, grantId, grant.tokens);
    }
  }

  private returnTokens(holder: SimulatedHolder, tokens: number): void {
    let remainingTokens = Math.floor(tokens);
    for (const book of holder.books) {
      const returnedTokens = Math.min(remainingTokens, book.spendableTokens);
      if (
        returnedTokens > 0 &&
        book.returnTokens(returnedTokens) !== undefined
      ) {
        remainingTokens -= returnedTokens;
        const {grantId} = book.grant;
        this.append(
          {case: 'return', value: {grantId, tokens: returnedTokens}},
          holder.name,
        );
      }
    }
  }

  private openBook(
    holder: SimulatedHolder,
    grantId: string,
    tokens: number,
  ): void {
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
    this.lastIdentifier += 1;
    this.grantAppends += kind.case === 'bill' ? 0 : 1;
    this.fold.applyBatch(
      this.nextOffset++,
      create(LedgerBatchSchema, {
        writer,
        entries: [
          create(LedgerEntrySchema, {
            kind,
            entryId: `entry-${this.lastIdentifier}`,
            organisation: 'org',
          }),
        ],
      }),
    );
  }
}
