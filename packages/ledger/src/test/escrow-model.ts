import {create, type MessageInitShape} from '@bufbuild/protobuf';
import {
  BillSchema,
  LedgerBatchSchema,
  LedgerEntrySchema,
  RequestReservationSchema,
  TransferSchema,
  type Bill,
  type BookChange,
  type LedgerBatch,
  type LedgerEntry,
} from '@wisteriadeal/schema';

import {HolderBook} from '../holder-book.js';
import {LedgerFold} from '../ledger-fold.js';
import {RefusalReason, VerdictKind, type EntryVerdict} from '../verdict.js';
import {BookChangeResult, WitnessBook} from '../witness-book.js';

type EntryKind = NonNullable<
  MessageInitShape<typeof LedgerEntrySchema>['kind']
>;

const ORGANISATION = 'org';
/**
 * Size of grants relative to reservations, so that several requests share a
 * grant.
 */
const GRANT_MULTIPLE = 4;

/**
 * A change in transit to a witness, with the callback for its acknowledgement.
 */
interface PendingChange {
  readonly change: BookChange;
  readonly onAcknowledged: () => void;
}

interface HeldGrant {
  readonly book: HolderBook;
  witness: string;
  proposedWitness: string | undefined;
}

/**
 * A dispatched request; it commits its bound until it is settled, then its
 * bill.
 */
interface DispatchedRequest {
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
  readonly channels = new Map<string, PendingChange[]>();
  readonly pendingEntries: LedgerEntry[] = [];
  nextOffset = 0;

  constructor(readonly name: string) {}
}

/**
 * A model of holders and witnesses that share one log, executed step by step in
 * any order. Each keeper reads the log at its own pace, which models a
 * partition from the platform. Changes reach a witness in order or are lost
 * when their channel breaks.
 */
export class EscrowModel {
  readonly log: LedgerBatch[] = [];
  readonly referenceFold = new LedgerFold();
  readonly dispatched = new Map<string, DispatchedRequest>();
  /** Sum of the distinct top-ups, in tokens; repeated records do not count. */
  toppedUpTokens = 0;
  private readonly actors: readonly Actor[];
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
        this.changeWitness(actor, holding, pick);
        return;
      case StepKind.BillInherited:
        this.billInherited(pick);
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
          if (this.dispatched.has(requestId)) {
            this.queueBill(actor, book, requestId, 1);
          }
        }
      }
      this.appendPending(actor);
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
    this.referenceFold.applyBatch(this.log.length, batch);
    this.log.push(batch);
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
    for (const [index, {kind}] of batch.entries.entries()) {
      if (kind.case === 'reclaim' && batch.writer === actor.name) {
        this.handleReclaimVerdict(actor, kind.value.grantId, verdicts[index]);
      }
      if (kind.case === 'grant' && kind.value.holder === actor.name) {
        const state = actor.fold.grant(ORGANISATION, kind.value.grantId);
        if (state !== undefined && !state.closed) {
          this.openBook(actor, state.grantId, state.tokens, state.witness);
        }
      }
    }
    for (const holding of actor.holdings.values()) {
      const state = actor.fold.grant(ORGANISATION, holding.book.grant.grantId);
      if (state !== undefined && holding.proposedWitness === state.witness) {
        holding.witness = state.witness;
        holding.proposedWitness = undefined;
      }
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
    const holding = {book, witness, proposedWitness: undefined};
    actor.holdings.set(grantId, holding);
    this.replicate(actor, holding, book.createOpenedChange(), () => undefined);
  }

  /**
   * Sends a change to the current and the proposed witness, either of which may
   * be in force. `onAcknowledged` is called once all of them have acknowledged
   * it.
   */
  private replicate(
    actor: Actor,
    holding: HeldGrant,
    change: BookChange,
    onAcknowledged: () => void,
  ): void {
    const witnesses = [holding.witness, holding.proposedWitness].flatMap(
      witness => witness ?? [],
    );
    let unacknowledgedCount = witnesses.length;
    for (const witness of witnesses) {
      const channel = actor.channels.get(witness) ?? [];
      actor.channels.set(witness, channel);
      channel.push({
        change,
        onAcknowledged: () => {
          unacknowledgedCount -= 1;
          if (unacknowledgedCount === 0) {
            onAcknowledged();
          }
        },
      });
    }
  }

  private deliver(pick: number, items: number): void {
    const nonEmptyChannels = this.actors.flatMap(actor =>
      [...actor.channels]
        .filter(([, channel]) => channel.length > 0)
        .map(([witness, channel]) => ({witness, channel})),
    );
    const chosen =
      nonEmptyChannels[pick % Math.max(1, nonEmptyChannels.length)];
    const witness = this.actors.find(
      actor => actor.name === chosen?.witness,
    )?.witnessBook;
    for (const item of chosen?.channel.splice(0, items) ?? []) {
      if (witness?.apply(item.change) === BookChangeResult.Applied) {
        item.onAcknowledged();
      }
    }
  }

  /**
   * Breaks the channel to a witness. Unacknowledged changes are lost, and the
   * next channel starts with the whole books.
   */
  private breakChannel(actor: Actor, witness: Actor): void {
    const channel = actor.channels.get(witness.name) ?? [];
    for (const {change} of channel) {
      if (change.kind.case === 'reserved') {
        const requestId = change.kind.value.reservation?.requestId ?? '';
        if (!this.dispatched.has(requestId)) {
          actor.holdings.get(change.grantId)?.book.release(requestId);
        }
      }
    }
    actor.channels.set(
      witness.name,
      [...actor.holdings.values()]
        .filter(holding =>
          [holding.witness, holding.proposedWitness].includes(witness.name),
        )
        .map(holding => ({
          change: holding.book.createOpenedChange(),
          onAcknowledged: () => undefined,
        })),
    );
  }

  private reserve(
    actor: Actor,
    holding: HeldGrant | undefined,
    boundTokens: number,
  ): void {
    this.lastIdentifier += 1;
    const requestId = `request-${this.lastIdentifier}`;
    const change = holding?.book.reserve(
      create(RequestReservationSchema, {reservation: {requestId, boundTokens}}),
    );
    if (holding !== undefined && change !== undefined) {
      this.replicate(actor, holding, change, () => {
        const stillOpen = holding.book.openReservations.some(
          open => open.reservation?.requestId === requestId,
        );
        if (stillOpen) {
          this.dispatched.set(requestId, {
            boundTokens,
            chargedTokens: undefined,
          });
        }
      });
    }
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
      this.dispatched.has(requestId)
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
      !this.dispatched.has(requestId)
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
    if (holding?.book.returnTokens(amount) !== undefined) {
      const {grantId} = holding.book.grant;
      actor.pendingEntries.push(
        this.entry({case: 'return', value: {grantId, tokens: amount}}),
      );
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
    const change = holding?.book.transferOut(transfer);
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
    const value = chosen?.actor.witnessBook.reclaim(
      chosen.grantId,
      chosen.actor.name,
    );
    if (
      chosen !== undefined &&
      value !== undefined &&
      !chosen.actor.undecidedReclaims.has(chosen.grantId)
    ) {
      chosen.actor.undecidedReclaims.add(chosen.grantId);
      this.append(chosen.actor.name, {case: 'reclaim', value});
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

  private changeWitness(
    actor: Actor,
    holding: HeldGrant | undefined,
    pick: number,
  ): void {
    if (holding === undefined || holding.proposedWitness !== undefined) {
      return;
    }
    const newWitness = this.witnessOf(actor, pick);
    if (newWitness === holding.witness) {
      return;
    }
    holding.proposedWitness = newWitness;
    const channel = actor.channels.get(newWitness) ?? [];
    actor.channels.set(newWitness, channel);
    channel.push({
      change: holding.book.createOpenedChange(),
      onAcknowledged: () => {
        this.append(actor.name, {
          case: 'witnessChange',
          value: {
            grantId: holding.book.grant.grantId,
            from: holding.witness,
            to: newWitness,
          },
        });
      },
    });
  }

  /**
   * Bills the bound of an inherited request, as a witness does if the outcome
   * of the request cannot be determined.
   */
  private billInherited(pick: number): void {
    const inherited = this.referenceFold
      .grants(ORGANISATION)
      .flatMap(grant =>
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
