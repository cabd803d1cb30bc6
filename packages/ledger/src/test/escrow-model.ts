import {create, type MessageInitShape} from '@bufbuild/protobuf';
import {
  BillSchema,
  LedgerBatchSchema,
  LedgerEntrySchema,
  RequestReservationSchema,
  TransferSchema,
  WitnessChangeSchema,
  WitnessNominationSchema,
  type Bill,
  type BookChange,
  type GrantState,
  type LedgerBatch,
  type LedgerEntry,
  type OpenReservation,
  type RequestReservation,
  type WitnessChange,
  type WitnessNomination,
} from '@wisteriadeal/schema';

import {HolderBook} from '../holder-book.js';
import {LedgerFold} from '../ledger-fold.js';
import {RefusalReason, VerdictKind, type EntryVerdict} from '../verdict.js';
import {BookChangeResult, WitnessBook} from '../witness-book.js';

type EntryKind = NonNullable<
  MessageInitShape<typeof LedgerEntrySchema>['kind']
>;

const ORGANISATION = 'org';
const ROUTER = 'router';
/**
 * Size of grants relative to reservations, so that several requests share a
 * grant.
 */
const GRANT_MULTIPLE = 4;

/** A change in transit to a witness, with the callbacks for its result. */
interface PendingChange {
  readonly change: BookChange;
  readonly onAcknowledged: () => void;
  /** Called if the change is refused, or lost without an acknowledgement. */
  readonly onFailed?: () => void;
}

/** A holder's stream to a witness, with the changes in transit. */
interface Channel {
  readonly streamNumber: number;
  readonly changes: PendingChange[];
}

/** Changes of a broken channel that can still arrive. */
interface LateChanges {
  readonly witness: string;
  readonly streamNumber: number;
  readonly changes: BookChange[];
}

/**
 * A held grant. All witnesses that the log may name have to acknowledge each
 * change: the one in force, the candidate that is being sent the book, and the
 * nominees whose entries the log has not decided.
 */
interface HeldGrant {
  readonly book: HolderBook;
  witness: string;
  candidate: string | undefined;
  isClosed: boolean;
  readonly nominations: Map<string, WitnessNomination>;
  /** Nominees that have acknowledged their nomination. */
  readonly informedNominees: Set<string>;
  /** Entries of the holder whose own copies it has not read from the log. */
  readonly undecidedWitnessChanges: Set<string>;
}

/** A request with the number of its newest begin. */
interface BegunRequest {
  readonly boundTokens: number;
  beginNumber: number;
  /** Numbers of the begins that the router has reported as not run. */
  readonly abandonedBegins: Set<number>;
}

/** A reservation that was made at any time. */
interface MadeReservation {
  readonly grantId: string;
  readonly requestId: string;
  readonly beginNumber: number;
}

/**
 * A dispatched request; it commits its bound until it is settled, then its
 * bill.
 */
interface DispatchedRequest {
  readonly grantId: string;
  readonly beginNumber: number;
  readonly boundTokens: number;
  chargedTokens: number | undefined;
}

/**
 * One step; its numbers select the actor, the affected object and the amount.
 */
export interface Step {
  readonly kind: StepKind;
  readonly actor: number;
  readonly pick: number;
  readonly amount: number;
}

/** The kinds of steps; any of them can follow any other. */
export enum StepKind {
  TopUp,
  Grant,
  Read,
  Reserve,
  Deliver,
  BreakChannel,
  Settle,
  Release,
  AppendPending,
  RepeatRecord,
  Return,
  Transfer,
  Fence,
  Reclaim,
  ChangeWitness,
  BillInherited,
  Nominate,
  AppendNomination,
  RemoveWitness,
  DeliverLate,
  BeginAgain,
  WriteAhead,
  ReleaseInherited,
}

/**
 * A keeper: the holder of its own grants and a witness of grants of other
 * keepers.
 */
class Actor {
  readonly fold = new LedgerFold();
  readonly holdings = new Map<string, HeldGrant>();
  readonly witnessBook = new WitnessBook();
  readonly undecidedReclaims = new Set<string>();
  readonly channels = new Map<string, Channel>();
  pendingEntries: LedgerEntry[] = [];
  openedStreams = 0;
  nextOffset = 0;

  constructor(readonly name: string) {}
}

/**
 * A model of holders and witnesses that share one log, executed step by step in
 * any order. Each keeper reads the log at its own pace, which models a
 * partition from the platform. Changes reach a witness in order. When their
 * channel breaks, they are lost or arrive late, beside those of the next one.
 */
export class EscrowModel {
  readonly log: LedgerBatch[] = [];
  readonly referenceFold = new LedgerFold();
  readonly dispatched = new Map<string, DispatchedRequest>();
  /** Sum of the distinct top-ups, in tokens; repeated records do not count. */
  toppedUpTokens = 0;
  /** All accepted charges of each request, in tokens. */
  readonly chargesByRequest = new Map<string, number[]>();
  private readonly actors: readonly Actor[];
  private readonly requests = new Map<string, BegunRequest>();
  private readonly reservations: MadeReservation[] = [];
  private lateChanges: LateChanges[] = [];
  private readonly fenced: {readonly actor: Actor; readonly grantId: string}[] =
    [];
  private lastIdentifier = 0;

  constructor(actors: number) {
    this.actors = Array.from(
      {length: actors},
      (_, index) => new Actor(`keeper-${index}`),
    );
  }

  /**
   * Executes one step. A step that is not possible in the current state has no
   * effect.
   */
  step({kind, actor: index, pick, amount}: Step): void {
    const actor = this.actorAt(index);
    const holding = this.pickHolding(actor, pick);
    switch (kind) {
      case StepKind.TopUp:
        this.toppedUpTokens += amount;
        this.append('operator', {case: 'topUp', value: {tokens: amount}});
        return;
      case StepKind.Grant:
        this.grant(actor, pick, GRANT_MULTIPLE * amount);
        return;
      case StepKind.Read:
        this.readRecords(actor, 1 + (pick % 8));
        return;
      case StepKind.Reserve:
        this.reserve(actor, holding, amount);
        return;
      case StepKind.Deliver:
        this.deliver(pick, 1 + (amount % 4));
        return;
      case StepKind.BreakChannel:
        this.breakChannel(actor, this.actorAt(pick));
        return;
      case StepKind.Settle:
        this.settle(actor, holding, pick, amount);
        return;
      case StepKind.Release:
        this.release(actor, holding, pick);
        return;
      case StepKind.AppendPending:
        this.appendPending(actor);
        return;
      case StepKind.RepeatRecord:
        this.repeatRecord(pick);
        return;
      case StepKind.Return:
        this.returnTokens(actor, holding, amount);
        return;
      case StepKind.Transfer:
        this.transfer(actor, holding, this.actorAt(pick), amount);
        return;
      case StepKind.Fence:
        this.fence(pick);
        return;
      case StepKind.Reclaim:
        this.reclaim(pick);
        return;
      case StepKind.ChangeWitness:
        this.changeWitness(actor, holding, pick, true);
        return;
      case StepKind.BillInherited:
        this.billInherited(pick);
        return;
      case StepKind.Nominate:
        this.changeWitness(actor, holding, pick, false);
        return;
      case StepKind.AppendNomination:
        this.appendNomination(pick);
        return;
      case StepKind.RemoveWitness:
        this.removeWitness(actor, holding);
        return;
      case StepKind.DeliverLate:
        this.deliverLate(pick, amount);
        return;
      case StepKind.BeginAgain:
        this.beginAgain(actor, holding, pick);
        return;
      case StepKind.WriteAhead:
        this.writeAhead(actor, holding, pick);
        return;
      case StepKind.ReleaseInherited:
        this.releaseInherited(pick, amount);
        return;
    }
  }

  /**
   * Upper bound on the tokens that have been or can still be spent by any
   * holder.
   */
  get committedTokens(): number {
    let committed = this.referenceFold.totals(ORGANISATION).unallocatedTokens;
    for (const request of this.dispatched.values()) {
      committed += request.chargedTokens ?? request.boundTokens;
    }
    const opened = new Set<string>();
    for (const actor of this.actors) {
      for (const [grantId, {book}] of actor.holdings) {
        opened.add(grantId);
        const state = this.referenceFold.grant(ORGANISATION, grantId);
        if (state?.closed !== true) {
          committed += book.freeTokens;
        }
      }
    }
    for (const grant of this.referenceFold.grants(ORGANISATION)) {
      if (!grant.closed && !opened.has(grant.grantId)) {
        committed += grant.tokens;
      }
    }
    return committed;
  }

  /**
   * Recovers the network: appends all pending entries, lets every keeper read
   * the whole log, and settles and bills all dispatched requests that are still
   * open.
   */
  recover(): void {
    for (const actor of this.actors) {
      this.appendPending(actor);
    }
    for (const actor of this.actors) {
      this.readRecords(actor, Infinity);
      this.appendPending(actor);
    }
    for (const actor of this.actors) {
      for (const {book} of actor.holdings.values()) {
        for (const open of book.openReservations) {
          const requestId = open.reservation?.requestId ?? '';
          if (this.isDispatched(requestId, book.grant.grantId)) {
            this.queueBill(actor, book, requestId, 1);
          }
        }
      }
      this.appendPending(actor);
    }
  }

  /**
   * Delivers all changes and then continues with one keeper only: it reads the
   * whole log, appends the nominations of lost holders, reclaims the grants of
   * which the log names it as the witness, and bills or releases all inherited
   * reservations.
   */
  continueAlone(index: number): void {
    const survivor = this.actorAt(index);
    this.deliverAll();
    let records: number;
    do {
      records = this.log.length;
      this.appendPending(survivor);
      this.readRecords(survivor, Infinity);
      for (const grant of survivor.fold.grants(ORGANISATION)) {
        if (!grant.closed && grant.holder !== survivor.name) {
          this.recoverGrant(survivor, grant);
        }
      }
    } while (this.log.length > records);
    for (const grant of survivor.fold.grants(ORGANISATION)) {
      for (const open of grant.closed ? [...grant.inherited] : []) {
        this.endInherited(grant.grantId, open);
      }
    }
  }

  /**
   * The grants of lost holders that still have tokens, although the one keeper
   * that is alive is their witness, or a nominee whose entry the log can accept.
   */
  strandedGrants(index: number): readonly GrantState[] {
    const survivor = this.actorAt(index);
    return this.referenceFold
      .grants(ORGANISATION)
      .filter(
        grant =>
          grant.holder !== survivor.name &&
          grant.tokens !== grant.billedTokens &&
          (grant.witness === survivor.name ||
            this.isUndecidedNominee(survivor, grant)),
      );
  }

  private isUndecidedNominee(
    actor: Actor,
    {grantId, holder, witness}: GrantState,
  ): boolean {
    const holding = this.actors
      .find(other => other.name === holder)
      ?.holdings.get(grantId);
    const nomination = holding?.nominations.get(actor.name);
    return (
      holding?.informedNominees.has(actor.name) === true &&
      nomination?.from === witness &&
      !this.referenceFold.hasSeen(ORGANISATION, nomination.entryId)
    );
  }

  private recoverGrant(survivor: Actor, grant: GrantState): void {
    const {grantId} = grant;
    if (grant.witness === survivor.name) {
      survivor.witnessBook.fence(grantId);
      this.appendReclaim(survivor, grantId);
    } else if (
      survivor.witnessBook.nomination(grantId)?.from === grant.witness
    ) {
      this.appendNominationOf(survivor, grantId);
    }
  }

  /** Ends an inherited reservation with a bill if its request ran. */
  private endInherited(grantId: string, open: OpenReservation): void {
    const {requestId, beginNumber, router} = open;
    if (this.isDispatched(requestId, grantId)) {
      const value = {requestId, grantId, tokens: open.boundTokens};
      this.append('survivor', {case: 'bill', value});
    } else {
      const value = {requestId, grantId, beginNumber, router};
      this.append('survivor', {case: 'inheritedRelease', value});
    }
  }

  private actorAt(index: number): Actor {
    const actor = this.actors[index % this.actors.length];
    if (actor === undefined) {
      throw new Error('the model has no actors');
    }
    return actor;
  }

  private pickHolding(actor: Actor, pick: number): HeldGrant | undefined {
    const holdings = [...actor.holdings.values()];
    return holdings[pick % Math.max(1, holdings.length)];
  }

  private entry(kind: EntryKind): LedgerEntry {
    this.lastIdentifier += 1;
    return create(LedgerEntrySchema, {
      entryId: `entry-${this.lastIdentifier}`,
      organisation: ORGANISATION,
      kind,
    });
  }

  private append(writer: string, kind: EntryKind): void {
    this.appendEntries(writer, [this.entry(kind)]);
  }

  private appendEntries(writer: string, entries: LedgerEntry[]): void {
    const batch = create(LedgerBatchSchema, {writer, entries});
    const verdicts = this.referenceFold.applyBatch(this.log.length, batch);
    this.log.push(batch);
    for (const [index, {kind}] of batch.entries.entries()) {
      if (verdicts[index]?.kind !== VerdictKind.Accepted) {
        continue;
      }
      if (kind.case === 'bill') {
        this.recordCharge(kind.value);
      } else if (kind.case === 'reclaim') {
        kind.value.settled
          .filter(
            ({requestId}) =>
              !this.chargesByRequest.has(requestId) &&
              this.referenceFold.isBilled(ORGANISATION, requestId),
          )
          .forEach(bill => {
            this.recordCharge(bill);
          });
      }
    }
  }

  private recordCharge({requestId, tokens}: Bill): void {
    const charges = this.chargesByRequest.get(requestId) ?? [];
    this.chargesByRequest.set(requestId, [...charges, tokens]);
  }

  /**
   * Appends an earlier record again, as a writer does after a lost answer,
   * however late.
   */
  private repeatRecord(pick: number): void {
    const batch = this.log[pick % Math.max(1, this.log.length)];
    if (batch !== undefined) {
      this.appendEntries(batch.writer, batch.entries);
    }
  }

  private appendPending(actor: Actor): void {
    const entries = actor.pendingEntries.splice(0);
    if (entries.length > 0) {
      this.appendEntries(actor.name, entries);
    }
  }

  /** Appends all pending entries except bills, which wait for others. */
  private appendUrgent(actor: Actor): void {
    const entries = actor.pendingEntries;
    actor.pendingEntries = entries.filter(({kind}) => kind.case === 'bill');
    this.appendEntries(
      actor.name,
      entries.filter(({kind}) => kind.case !== 'bill'),
    );
  }

  private witnessOf(actor: Actor, pick: number): string {
    const others = this.actors.filter(other => other !== actor);
    return others[pick % Math.max(1, others.length)]?.name ?? '';
  }

  private grant(actor: Actor, pick: number, tokens: number): void {
    this.lastIdentifier += 1;
    this.append(actor.name, {
      case: 'grant',
      value: {
        grantId: `grant-${this.lastIdentifier}`,
        tokens,
        minimumTokens: 1,
        holder: actor.name,
        witness: this.witnessOf(actor, pick),
      },
    });
  }

  private readRecords(actor: Actor, records: number): void {
    const end = Math.min(this.log.length, actor.nextOffset + records);
    while (actor.nextOffset < end) {
      const batch = this.log[actor.nextOffset];
      if (batch !== undefined) {
        this.foldRecord(actor, batch);
      }
      actor.nextOffset += 1;
    }
  }

  private foldRecord(actor: Actor, batch: LedgerBatch): void {
    const verdicts = actor.fold.applyBatch(actor.nextOffset, batch);
    for (const [index, {entryId, kind}] of batch.entries.entries()) {
      const isOwn = batch.writer === actor.name;
      const verdict = verdicts[index];
      if (kind.case === 'reclaim') {
        this.foldReclaim(actor, kind.value.grantId, verdict, isOwn);
      } else if (kind.case === 'witnessChange' && isOwn) {
        this.endWitnessChange(actor, entryId, kind.value);
      } else if (kind.case === 'bill') {
        this.foldBill(actor, kind.value, verdict, isOwn);
      }
      if (kind.case === 'grant' && kind.value.holder === actor.name) {
        const state = actor.fold.grant(ORGANISATION, kind.value.grantId);
        if (state !== undefined && !state.closed) {
          this.openBook(actor, state.grantId, state.tokens, state.witness);
        }
      }
    }
  }

  private foldReclaim(
    actor: Actor,
    grantId: string,
    verdict: EntryVerdict | undefined,
    isOwn: boolean,
  ): void {
    if (isOwn) {
      this.handleReclaimVerdict(actor, grantId, verdict);
    }
    const holding = actor.holdings.get(grantId);
    if (holding !== undefined && verdict?.kind === VerdictKind.Accepted) {
      holding.isClosed = true;
    }
  }

  private foldBill(
    actor: Actor,
    bill: Bill,
    verdict: EntryVerdict | undefined,
    isOwn: boolean,
  ): void {
    const book = actor.holdings.get(bill.grantId)?.book;
    if (verdict?.kind === VerdictKind.Accepted) {
      actor.witnessBook.removeFoldedBill(bill.grantId, bill.requestId);
      book?.applyFoldedBill(bill);
    } else if (verdict?.kind === VerdictKind.Duplicate && isOwn) {
      book?.refundDuplicateBill(bill.requestId);
    }
  }

  /** Ends a change of witness when the holder reads its own copy of the entry. */
  private endWitnessChange(
    actor: Actor,
    entryId: string,
    {grantId, to}: WitnessChange,
  ): void {
    const holding = actor.holdings.get(grantId);
    if (holding?.undecidedWitnessChanges.delete(entryId) !== true) {
      return;
    }
    holding.nominations.delete(to);
    holding.informedNominees.delete(to);
    const state = actor.fold.grant(ORGANISATION, grantId);
    if (state?.closed === true) {
      holding.isClosed = true;
    } else if (state !== undefined) {
      holding.witness = state.witness;
    }
  }

  private openBook(
    actor: Actor,
    grantId: string,
    tokens: number,
    witness: string,
  ): void {
    if (actor.holdings.has(grantId)) {
      return;
    }
    const book = new HolderBook({
      grantId,
      organisation: ORGANISATION,
      tokens,
      holder: actor.name,
      dataCenter: 'a',
    });
    const holding = {
      book,
      witness,
      candidate: undefined,
      isClosed: false,
      nominations: new Map<string, WitnessNomination>(),
      informedNominees: new Set<string>(),
      undecidedWitnessChanges: new Set<string>(),
    };
    actor.holdings.set(grantId, holding);
    this.replicate(actor, holding, book.createOpenedChange(), () => undefined);
  }

  private channelTo(actor: Actor, witness: string): Channel {
    const channel = actor.channels.get(witness) ?? this.openChannel(actor, []);
    actor.channels.set(witness, channel);
    return channel;
  }

  private openChannel(actor: Actor, changes: PendingChange[]): Channel {
    actor.openedStreams += 1;
    return {streamNumber: actor.openedStreams, changes};
  }

  /**
   * Sends a change to all witnesses that the log may name. `onAcknowledged` is
   * called once all of them have acknowledged it, at once if there is none.
   */
  private replicate(
    actor: Actor,
    holding: HeldGrant,
    change: BookChange,
    onAcknowledged: () => void,
  ): void {
    const witnesses = witnessesOf(holding);
    let unacknowledgedCount = witnesses.length;
    if (unacknowledgedCount === 0) {
      onAcknowledged();
    }
    for (const witness of witnesses) {
      this.channelTo(actor, witness).changes.push({
        change,
        onAcknowledged: () => {
          unacknowledgedCount -= 1;
          if (unacknowledgedCount === 0 && !holding.isClosed) {
            onAcknowledged();
          }
        },
      });
    }
  }

  private nonEmptyChannels(): readonly {
    readonly witness: string;
    readonly channel: Channel;
  }[] {
    return this.actors.flatMap(actor =>
      [...actor.channels]
        .filter(([, {changes}]) => changes.length > 0)
        .map(([witness, channel]) => ({witness, channel})),
    );
  }

  private deliver(pick: number, items: number): void {
    const channels = this.nonEmptyChannels();
    const chosen = channels[pick % Math.max(1, channels.length)];
    if (chosen === undefined) {
      return;
    }
    const {witness, channel} = chosen;
    for (const item of channel.changes.splice(0, items)) {
      const result = this.witnessBookOf(witness)?.apply(
        item.change,
        channel.streamNumber,
      );
      if (result === BookChangeResult.Applied) {
        item.onAcknowledged();
      } else {
        item.onFailed?.();
      }
    }
  }

  private deliverAll(): void {
    while (this.nonEmptyChannels().length > 0) {
      this.deliver(0, Infinity);
    }
  }

  /**
   * Delivers changes of a broken channel. Their acknowledgements don't reach
   * the holder.
   */
  private deliverLate(pick: number, items: number): void {
    const chosen =
      this.lateChanges[pick % Math.max(1, this.lateChanges.length)];
    for (const change of chosen?.changes.splice(0, items) ?? []) {
      this.witnessBookOf(chosen?.witness)?.apply(change, chosen?.streamNumber);
    }
    this.lateChanges = this.lateChanges.filter(
      ({changes}) => changes.length > 0,
    );
  }

  private witnessBookOf(name: string | undefined): WitnessBook | undefined {
    return this.actors.find(actor => actor.name === name)?.witnessBook;
  }

  /**
   * Breaks the channel to a witness. Unacknowledged changes are lost or arrive
   * late, and the next channel starts with the whole books.
   */
  private breakChannel(actor: Actor, witness: Actor): void {
    const {streamNumber, changes} = this.channelTo(actor, witness.name);
    for (const {onFailed} of changes) {
      onFailed?.();
    }
    if (changes.length > 0) {
      this.lateChanges.push({
        witness: witness.name,
        streamNumber,
        changes: changes.map(({change}) => change),
      });
    }
    const books = [...actor.holdings.values()]
      .filter(holding => witnessesOf(holding).includes(witness.name))
      .map(holding => this.openedChange(holding, witness.name));
    actor.channels.set(witness.name, this.openChannel(actor, books));
    for (const {change} of changes) {
      if (change.kind.case === 'reserved') {
        this.releaseLost(actor, change.grantId, change.kind.value);
      }
    }
  }

  /** Releases a reservation that was not acknowledged, at all witnesses. */
  private releaseLost(
    actor: Actor,
    grantId: string,
    {reservation}: RequestReservation,
  ): void {
    const requestId = reservation?.requestId ?? '';
    const holding = actor.holdings.get(grantId);
    if (holding !== undefined && !this.isDispatched(requestId, grantId)) {
      const released = holding.book.release(requestId);
      if (released !== undefined) {
        this.replicate(actor, holding, released, () => undefined);
      }
    }
  }

  /** The whole book for one witness, with its nomination if there is one. */
  private openedChange(holding: HeldGrant, witness: string): PendingChange {
    const nomination = holding.nominations.get(witness);
    return {
      change: holding.book.createOpenedChange(nomination),
      onAcknowledged: () => {
        if (nomination !== undefined) {
          this.recordInformed(holding, witness);
        }
      },
    };
  }

  private recordInformed(holding: HeldGrant, nominee: string): void {
    if (holding.nominations.has(nominee)) {
      holding.informedNominees.add(nominee);
    }
  }

  private reserve(
    actor: Actor,
    holding: HeldGrant | undefined,
    boundTokens: number,
  ): void {
    this.lastIdentifier += 1;
    const requestId = `request-${this.lastIdentifier}`;
    const request = {
      boundTokens,
      beginNumber: 1,
      abandonedBegins: new Set<number>(),
    };
    this.requests.set(requestId, request);
    this.begin(actor, holding, requestId, request);
  }

  /**
   * Begins a request again after its router has not got the answer to the last
   * begin, under this or another grant. The router uses only the newest begin.
   */
  private beginAgain(
    actor: Actor,
    holding: HeldGrant | undefined,
    pick: number,
  ): void {
    const undispatched = [...this.requests].filter(
      ([requestId]) => !this.dispatched.has(requestId),
    );
    const chosen = undispatched[pick % Math.max(1, undispatched.length)];
    if (chosen !== undefined) {
      const [requestId, request] = chosen;
      request.beginNumber += 1;
      this.begin(actor, holding, requestId, request);
    }
  }

  private begin(
    actor: Actor,
    holding: HeldGrant | undefined,
    requestId: string,
    request: BegunRequest,
  ): void {
    const {boundTokens, beginNumber} = request;
    if (holding === undefined || holding.isClosed) {
      return;
    }
    const {grantId} = holding.book.grant;
    const change = holding.book.reserve(
      create(RequestReservationSchema, {
        reservation: {requestId, boundTokens},
        router: ROUTER,
        beginNumber,
      }),
    );
    if (change === undefined) {
      return;
    }
    this.reservations.push({grantId, requestId, beginNumber});
    this.replicate(actor, holding, change, () => {
      const stillOpen = holding.book.openReservations.some(
        open =>
          open.reservation?.requestId === requestId &&
          open.beginNumber === beginNumber,
      );
      const isCurrent =
        request.beginNumber === beginNumber &&
        !request.abandonedBegins.has(beginNumber);
      if (stillOpen && isCurrent) {
        this.dispatched.set(requestId, {
          grantId,
          beginNumber,
          boundTokens,
          chargedTokens: undefined,
        });
      }
    });
  }

  private isDispatched(requestId: string, grantId: string): boolean {
    return this.dispatched.get(requestId)?.grantId === grantId;
  }

  private openRequest(holding: HeldGrant, pick: number): string | undefined {
    const open = holding.book.openReservations;
    return open[pick % Math.max(1, open.length)]?.reservation?.requestId;
  }

  private settle(
    actor: Actor,
    holding: HeldGrant | undefined,
    pick: number,
    amount: number,
  ): void {
    const requestId =
      holding === undefined ? undefined : this.openRequest(holding, pick);
    if (
      holding !== undefined &&
      requestId !== undefined &&
      this.isDispatched(requestId, holding.book.grant.grantId)
    ) {
      const change = this.queueBill(actor, holding.book, requestId, amount);
      if (change !== undefined) {
        this.replicate(actor, holding, change, () => undefined);
      }
    }
  }

  private queueBill(
    actor: Actor,
    book: HolderBook,
    requestId: string,
    amount: number,
  ): BookChange | undefined {
    const change = book.settle(create(BillSchema, {requestId, tokens: amount}));
    const request = this.dispatched.get(requestId);
    if (change?.kind.case !== 'settled' || request === undefined) {
      return undefined;
    }
    request.chargedTokens = change.kind.value.tokens;
    actor.pendingEntries.push(
      this.entry({case: 'bill', value: change.kind.value}),
    );
    return change;
  }

  private release(
    actor: Actor,
    holding: HeldGrant | undefined,
    pick: number,
  ): void {
    const requestId =
      holding === undefined ? undefined : this.openRequest(holding, pick);
    if (
      holding !== undefined &&
      requestId !== undefined &&
      !this.isDispatched(requestId, holding.book.grant.grantId)
    ) {
      const change = holding.book.release(requestId);
      if (change !== undefined) {
        this.replicate(actor, holding, change, () => undefined);
      }
    }
  }

  private returnTokens(
    actor: Actor,
    holding: HeldGrant | undefined,
    amount: number,
  ): void {
    const change = holding?.book.returnTokens(amount);
    if (holding !== undefined && change !== undefined) {
      const {grantId} = holding.book.grant;
      // The witnesses must have the changes that freed the tokens.
      this.replicate(actor, holding, change, () => {
        actor.pendingEntries.push(
          this.entry({case: 'return', value: {grantId, tokens: amount}}),
        );
      });
    }
  }

  private transfer(
    actor: Actor,
    holding: HeldGrant | undefined,
    recipient: Actor,
    tokens: number,
  ): void {
    this.lastIdentifier += 1;
    const transfer = create(TransferSchema, {
      transferId: `transfer-${this.lastIdentifier}`,
      tokens,
      toHolder: recipient.name,
      toWitness: this.witnessOf(recipient, tokens),
    });
    const change =
      holding?.isClosed === false
        ? holding.book.transferOut(transfer)
        : undefined;
    if (holding === undefined || change?.kind.case !== 'transferred') {
      return;
    }
    const {value} = change.kind;
    this.replicate(actor, holding, change, () => {
      this.openBook(recipient, value.transferId, value.tokens, value.toWitness);
      actor.pendingEntries.push(this.entry({case: 'transfer', value}));
      recipient.pendingEntries.push(this.entry({case: 'transfer', value}));
    });
  }

  private fence(pick: number): void {
    const witnessed = this.actors.flatMap(actor =>
      actor.fold
        .grants(ORGANISATION)
        .filter(
          grant =>
            grant.witness === actor.name &&
            !grant.closed &&
            !actor.witnessBook.isFenced(grant.grantId),
        )
        .map(grant => ({actor, grantId: grant.grantId})),
    );
    const chosen = witnessed[pick % Math.max(1, witnessed.length)];
    if (chosen !== undefined) {
      chosen.actor.witnessBook.fence(chosen.grantId);
      this.fenced.push(chosen);
    }
  }

  private reclaim(pick: number): void {
    const chosen = this.fenced[pick % Math.max(1, this.fenced.length)];
    if (chosen !== undefined) {
      this.appendReclaim(chosen.actor, chosen.grantId);
    }
  }

  private appendReclaim(actor: Actor, grantId: string): void {
    const value = actor.witnessBook.reclaim(grantId, actor.name);
    if (value !== undefined && !actor.undecidedReclaims.has(grantId)) {
      actor.undecidedReclaims.add(grantId);
      this.append(actor.name, {case: 'reclaim', value});
    }
  }

  private handleReclaimVerdict(
    actor: Actor,
    grantId: string,
    verdict: EntryVerdict | undefined,
  ): void {
    if (verdict?.kind === VerdictKind.Duplicate) {
      return;
    }
    actor.undecidedReclaims.delete(grantId);
    if (verdict?.reason === RefusalReason.NotWitness) {
      actor.witnessBook.unfence(grantId);
    }
  }

  /**
   * Sends the book to a further witness and then nominates it. The witness gets
   * its nomination only once the holder needs its acknowledgement. If the log
   * is unreachable, the entry stays pending; it can then be one of several.
   */
  private changeWitness(
    actor: Actor,
    holding: HeldGrant | undefined,
    pick: number,
    isLogReachable: boolean,
  ): void {
    if (holding?.isClosed !== false || holding.candidate !== undefined) {
      return;
    }
    const newWitness = this.witnessOf(actor, pick);
    if (newWitness === holding.witness || holding.nominations.has(newWitness)) {
      return;
    }
    holding.candidate = newWitness;
    this.channelTo(actor, newWitness).changes.push({
      change: holding.book.createOpenedChange(),
      onAcknowledged: () => {
        holding.candidate = undefined;
        this.nominate(actor, holding, newWitness);
        if (isLogReachable) {
          this.appendUrgent(actor);
        }
      },
      onFailed: () => {
        holding.candidate = undefined;
      },
    });
  }

  private nominate(actor: Actor, holding: HeldGrant, nominee: string): void {
    const entryId = this.submitWitnessChange(actor, holding, nominee);
    const nomination = create(WitnessNominationSchema, {
      entryId,
      from: holding.witness,
    });
    holding.nominations.set(nominee, nomination);
    this.channelTo(actor, nominee).changes.push({
      change: holding.book.createNominatedChange(nomination),
      onAcknowledged: () => {
        this.recordInformed(holding, nominee);
      },
    });
  }

  private submitWitnessChange(
    actor: Actor,
    holding: HeldGrant,
    to: string,
  ): string {
    const entry = this.entry({
      case: 'witnessChange',
      value: {grantId: holding.book.grant.grantId, from: holding.witness, to},
    });
    holding.undecidedWitnessChanges.add(entry.entryId);
    actor.pendingEntries.push(entry);
    return entry.entryId;
  }

  /** Changes to no witness, as if none were heard any more. */
  private removeWitness(actor: Actor, holding: HeldGrant | undefined): void {
    if (holding?.isClosed === false && holding.witness !== '') {
      this.submitWitnessChange(actor, holding, '');
    }
  }

  /**
   * Appends the entry that names a nominee, as the nominee does if it treats
   * the holder as lost, whether or not it is.
   */
  private appendNomination(pick: number): void {
    const nominated = this.actors.flatMap(actor =>
      actor.fold
        .grants(ORGANISATION)
        .filter(
          ({grantId, closed, witness}) =>
            !closed && actor.witnessBook.nomination(grantId)?.from === witness,
        )
        .map(({grantId}) => ({actor, grantId})),
    );
    const chosen = nominated[pick % Math.max(1, nominated.length)];
    if (chosen !== undefined) {
      this.appendNominationOf(chosen.actor, chosen.grantId);
    }
  }

  private appendNominationOf(actor: Actor, grantId: string): void {
    const nomination = actor.witnessBook.nomination(grantId);
    if (
      nomination === undefined ||
      actor.fold.hasSeen(ORGANISATION, nomination.entryId)
    ) {
      return;
    }
    const {entryId, from} = nomination;
    const value = create(WitnessChangeSchema, {grantId, from, to: actor.name});
    const entry = this.entry({case: 'witnessChange', value});
    entry.entryId = entryId;
    this.appendEntries(actor.name, [entry]);
  }

  /**
   * Writes a reservation to the log while its grant is open, so that the log
   * lists it there.
   */
  private writeAhead(
    actor: Actor,
    holding: HeldGrant | undefined,
    pick: number,
  ): void {
    const open = holding?.book.openReservations ?? [];
    const chosen = open[pick % Math.max(1, open.length)];
    if (holding !== undefined && chosen?.reservation !== undefined) {
      const {requestId, boundTokens} = chosen.reservation;
      const {router, beginNumber} = chosen;
      const value = {
        grantId: holding.book.grant.grantId,
        reservation: {requestId, boundTokens, router, beginNumber},
      };
      actor.pendingEntries.push(this.entry({case: 'writeAhead', value}));
    }
  }

  /**
   * Releases a reservation of a begin that did not run, as a keeper does to
   * which the router has reported it. The reservation can be one of any time,
   * of an open grant, or of another begin of the request, which may have run.
   */
  private releaseInherited(pick: number, amount: number): void {
    const inherited = this.closedGrants().flatMap(grant =>
      grant.inherited.map(({requestId, beginNumber}) => ({
        grantId: grant.grantId,
        requestId,
        beginNumber,
      })),
    );
    const candidates =
      amount % 2 === 0 && inherited.length > 0 ? inherited : this.reservations;
    const chosen = candidates[pick % Math.max(1, candidates.length)];
    const request = this.requests.get(chosen?.requestId ?? '');
    if (chosen === undefined || request === undefined) {
      return;
    }
    const beginNumber = chosen.beginNumber + (amount % 3 === 0 ? 1 : 0);
    if (this.dispatched.get(chosen.requestId)?.beginNumber === beginNumber) {
      return;
    }
    request.abandonedBegins.add(beginNumber);
    this.append('keeper', {
      case: 'inheritedRelease',
      value: {...chosen, beginNumber, router: ROUTER},
    });
  }

  private closedGrants(): readonly GrantState[] {
    return this.referenceFold
      .grants(ORGANISATION)
      .filter(grant => grant.closed);
  }

  /**
   * Bills the bound of an inherited request, as a witness does if the outcome
   * of the request cannot be determined.
   */
  private billInherited(pick: number): void {
    const inherited = this.closedGrants().flatMap(grant =>
      grant.inherited.map(open => ({grant, requestId: open.requestId, open})),
    );
    const chosen = inherited[pick % Math.max(1, inherited.length)];
    if (chosen !== undefined) {
      const bill: Bill = create(BillSchema, {
        requestId: chosen.requestId,
        grantId: chosen.grant.grantId,
        tokens: chosen.open.boundTokens,
      });
      this.append('witness', {case: 'bill', value: bill});
    }
  }
}

/** The witnesses that have to acknowledge the changes of a grant. */
function witnessesOf(holding: HeldGrant): readonly string[] {
  const names = [
    holding.witness,
    holding.candidate ?? '',
    ...holding.nominations.keys(),
  ];
  return [...new Set(names)].filter(name => name !== '');
}
