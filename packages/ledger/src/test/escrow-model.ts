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
/** Grants are larger than reservations, so that several share one. */
const GRANT_MULTIPLE = 4;

/** One change on its way to a witness, and what to do once it is known there. */
interface ChannelItem {
  readonly change: BookChange;
  readonly acknowledged: () => void;
}

interface Holding {
  readonly book: HolderBook;
  witness: string;
  candidate: string | undefined;
}

/** A request that was dispatched: from then on it costs its bound or its bill. */
interface Dispatched {
  readonly boundTokens: number;
  chargedTokens: number | undefined;
}

/** What one step does; numbers pick the actor and the object. */
export interface Step {
  readonly kind: StepKind;
  readonly actor: number;
  readonly pick: number;
  readonly amount: number;
}

/** The kinds of steps, each of which can happen at any moment. */
export enum StepKind {
  TopUp,
  Grant,
  Read,
  Reserve,
  Deliver,
  Break,
  Settle,
  Release,
  Bill,
  Repeat,
  Return,
  Transfer,
  Fence,
  Reclaim,
  ChangeWitness,
  BillInherited,
}

/** A keeper: holder of its own grants and witness of its neighbours'. */
class Actor {
  readonly fold = new LedgerFold();
  readonly holdings = new Map<string, Holding>();
  readonly witnessBook = new WitnessBook();
  readonly undecidedReclaims = new Set<string>();
  readonly channels = new Map<string, ChannelItem[]>();
  readonly unappended: LedgerEntry[] = [];
  position = 0;

  constructor(readonly name: string) {}
}

/**
 * Holders and witnesses over one log, driven step by step in any order. Each
 * reads the log at its own pace, which is what a partition from the platform
 * means; changes reach a witness in order or are lost with their channel.
 */
export class EscrowModel {
  readonly log: LedgerBatch[] = [];
  readonly truth = new LedgerFold();
  readonly dispatched = new Map<string, Dispatched>();
  /** Sum of distinct top-ups: what the operators really paid in. */
  paidTokens = 0;
  private readonly actors: readonly Actor[];
  private readonly fenced: {readonly actor: Actor; readonly grantId: string}[] =
    [];
  private counter = 0;

  constructor(actors: number) {
    this.actors = Array.from(
      {length: actors},
      (_, index) => new Actor(`keeper-${index}`),
    );
  }

  /** Does one step; one that is impossible now does nothing. */
  step({kind, actor: index, pick, amount}: Step): void {
    const actor = this.at(index);
    const holding = this.pickHolding(actor, pick);
    switch (kind) {
      case StepKind.TopUp:
        this.paidTokens += amount;
        this.append('operator', {case: 'topUp', value: {tokens: amount}});
        return;
      case StepKind.Grant:
        this.grant(actor, pick, GRANT_MULTIPLE * amount);
        return;
      case StepKind.Read:
        this.read(actor, 1 + (pick % 8));
        return;
      case StepKind.Reserve:
        this.reserve(actor, holding, amount);
        return;
      case StepKind.Deliver:
        this.deliver(pick, 1 + (amount % 4));
        return;
      case StepKind.Break:
        this.breakChannel(actor, this.at(pick));
        return;
      case StepKind.Settle:
        this.settle(actor, holding, pick, amount);
        return;
      case StepKind.Release:
        this.release(actor, holding, pick);
        return;
      case StepKind.Bill:
        this.appendPending(actor);
        return;
      case StepKind.Repeat:
        this.repeat(pick);
        return;
      case StepKind.Return:
        this.giveBack(actor, holding, amount);
        return;
      case StepKind.Transfer:
        this.transfer(actor, holding, this.at(pick), amount);
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

  /** What was or can yet be spent, by anybody, whatever happens next. */
  get committedTokens(): number {
    let committed = this.truth.totals(ORGANISATION).unallocatedTokens;
    for (const request of this.dispatched.values()) {
      committed += request.chargedTokens ?? request.boundTokens;
    }
    const opened = new Set<string>();
    for (const actor of this.actors) {
      for (const [grantId, {book}] of actor.holdings) {
        opened.add(grantId);
        const state = this.truth.grant(ORGANISATION, grantId);
        if (state?.closed !== true) {
          committed += book.freeTokens;
        }
      }
    }
    for (const grant of this.truth.grants(ORGANISATION)) {
      if (!grant.closed && !opened.has(grant.grantId)) {
        committed += grant.tokens;
      }
    }
    return committed;
  }

  /** The whole network heals: everything pending is appended, read and billed. */
  heal(): void {
    for (const actor of this.actors) {
      this.appendPending(actor);
    }
    for (const actor of this.actors) {
      this.read(actor, Infinity);
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

  private at(index: number): Actor {
    const actor = this.actors[index % this.actors.length];
    if (actor === undefined) {
      throw new Error('the model has no actors');
    }
    return actor;
  }

  private pickHolding(actor: Actor, pick: number): Holding | undefined {
    const holdings = [...actor.holdings.values()];
    return holdings[pick % Math.max(1, holdings.length)];
  }

  private entry(kind: EntryKind): LedgerEntry {
    this.counter += 1;
    return create(LedgerEntrySchema, {
      entryId: `entry-${this.counter}`,
      organisation: ORGANISATION,
      kind,
    });
  }

  private append(writer: string, kind: EntryKind): void {
    this.appendEntries(writer, [this.entry(kind)]);
  }

  private appendEntries(writer: string, entries: LedgerEntry[]): void {
    const batch = create(LedgerBatchSchema, {writer, entries});
    this.truth.applyBatch(this.log.length, batch);
    this.log.push(batch);
  }

  /** A lost answer makes its writer append the same again, much later even. */
  private repeat(pick: number): void {
    const batch = this.log[pick % Math.max(1, this.log.length)];
    if (batch !== undefined) {
      this.appendEntries(batch.writer, batch.entries);
    }
  }

  private appendPending(actor: Actor): void {
    const entries = actor.unappended.splice(0);
    if (entries.length > 0) {
      this.appendEntries(actor.name, entries);
    }
  }

  private witnessOf(actor: Actor, pick: number): string {
    const others = this.actors.filter(other => other !== actor);
    return others[pick % Math.max(1, others.length)]?.name ?? '';
  }

  private grant(actor: Actor, pick: number, tokens: number): void {
    this.counter += 1;
    this.append(actor.name, {
      case: 'grant',
      value: {
        grantId: `grant-${this.counter}`,
        tokens,
        minimumTokens: 1,
        holder: actor.name,
        witness: this.witnessOf(actor, pick),
      },
    });
  }

  private read(actor: Actor, records: number): void {
    const end = Math.min(this.log.length, actor.position + records);
    while (actor.position < end) {
      const batch = this.log[actor.position];
      if (batch !== undefined) {
        this.fold(actor, batch);
      }
      actor.position += 1;
    }
  }

  private fold(actor: Actor, batch: LedgerBatch): void {
    const verdicts = actor.fold.applyBatch(actor.position, batch);
    for (const [index, {kind}] of batch.entries.entries()) {
      if (kind.case === 'reclaim' && batch.writer === actor.name) {
        this.reclaimDecided(actor, kind.value.grantId, verdicts[index]);
      }
      if (kind.case === 'grant' && kind.value.holder === actor.name) {
        const state = actor.fold.grant(ORGANISATION, kind.value.grantId);
        if (state !== undefined && !state.closed) {
          this.open(actor, state.grantId, state.tokens, state.witness);
        }
      }
    }
    for (const holding of actor.holdings.values()) {
      const state = actor.fold.grant(
        ORGANISATION,
        holding.book.opening.grantId,
      );
      if (state !== undefined && holding.candidate === state.witness) {
        holding.witness = state.witness;
        holding.candidate = undefined;
      }
    }
  }

  private open(
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
    const holding = {book, witness, candidate: undefined};
    actor.holdings.set(grantId, holding);
    this.commit(actor, holding, book.opened(), () => undefined);
  }

  /** Every witness that may be in force has to acknowledge. */
  private commit(
    actor: Actor,
    holding: Holding,
    change: BookChange,
    done: () => void,
  ): void {
    const witnesses = [holding.witness, holding.candidate].flatMap(
      witness => witness ?? [],
    );
    let missing = witnesses.length;
    for (const witness of witnesses) {
      const channel = actor.channels.get(witness) ?? [];
      actor.channels.set(witness, channel);
      channel.push({
        change,
        acknowledged: () => {
          missing -= 1;
          if (missing === 0) {
            done();
          }
        },
      });
    }
  }

  private deliver(pick: number, items: number): void {
    const waiting = this.actors.flatMap(actor =>
      [...actor.channels]
        .filter(([, channel]) => channel.length > 0)
        .map(([witness, channel]) => ({witness, channel})),
    );
    const chosen = waiting[pick % Math.max(1, waiting.length)];
    const witness = this.actors.find(
      actor => actor.name === chosen?.witness,
    )?.witnessBook;
    for (const item of chosen?.channel.splice(0, items) ?? []) {
      if (witness?.apply(item.change) === BookChangeResult.Applied) {
        item.acknowledged();
      }
    }
  }

  /** What was not acknowledged counts as lost; the next stream starts anew. */
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
          [holding.witness, holding.candidate].includes(witness.name),
        )
        .map(holding => ({
          change: holding.book.opened(),
          acknowledged: () => undefined,
        })),
    );
  }

  private reserve(
    actor: Actor,
    holding: Holding | undefined,
    boundTokens: number,
  ): void {
    this.counter += 1;
    const requestId = `request-${this.counter}`;
    const change = holding?.book.reserve(
      create(RequestReservationSchema, {reservation: {requestId, boundTokens}}),
    );
    if (holding !== undefined && change !== undefined) {
      this.commit(actor, holding, change, () => {
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

  private openRequest(holding: Holding, pick: number): string | undefined {
    const open = holding.book.openReservations;
    return open[pick % Math.max(1, open.length)]?.reservation?.requestId;
  }

  private settle(
    actor: Actor,
    holding: Holding | undefined,
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
        this.commit(actor, holding, change, () => undefined);
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
    actor.unappended.push(this.entry({case: 'bill', value: change.kind.value}));
    return change;
  }

  private release(
    actor: Actor,
    holding: Holding | undefined,
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
        this.commit(actor, holding, change, () => undefined);
      }
    }
  }

  private giveBack(
    actor: Actor,
    holding: Holding | undefined,
    amount: number,
  ): void {
    if (holding?.book.giveBack(amount) !== undefined) {
      const {grantId} = holding.book.opening;
      actor.unappended.push(
        this.entry({case: 'return', value: {grantId, tokens: amount}}),
      );
    }
  }

  private transfer(
    actor: Actor,
    holding: Holding | undefined,
    taker: Actor,
    tokens: number,
  ): void {
    this.counter += 1;
    const transfer = create(TransferSchema, {
      transferId: `transfer-${this.counter}`,
      tokens,
      toHolder: taker.name,
      toWitness: this.witnessOf(taker, tokens),
    });
    const change = holding?.book.transferOut(transfer);
    if (holding === undefined || change?.kind.case !== 'transferred') {
      return;
    }
    const {value} = change.kind;
    this.commit(actor, holding, change, () => {
      this.open(taker, value.transferId, value.tokens, value.toWitness);
      actor.unappended.push(this.entry({case: 'transfer', value}));
      taker.unappended.push(this.entry({case: 'transfer', value}));
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

  private reclaimDecided(
    actor: Actor,
    grantId: string,
    verdict: EntryVerdict | undefined,
  ): void {
    if (verdict?.kind === VerdictKind.Duplicate) {
      return;
    }
    actor.undecidedReclaims.delete(grantId);
    if (verdict?.reason === RefusalReason.NotWitness) {
      actor.witnessBook.liftFence(grantId);
    }
  }

  private changeWitness(
    actor: Actor,
    holding: Holding | undefined,
    pick: number,
  ): void {
    if (holding === undefined || holding.candidate !== undefined) {
      return;
    }
    const to = this.witnessOf(actor, pick);
    if (to === holding.witness) {
      return;
    }
    holding.candidate = to;
    const channel = actor.channels.get(to) ?? [];
    actor.channels.set(to, channel);
    channel.push({
      change: holding.book.opened(),
      acknowledged: () => {
        this.append(actor.name, {
          case: 'witnessChange',
          value: {
            grantId: holding.book.opening.grantId,
            from: holding.witness,
            to,
          },
        });
      },
    });
  }

  /** A witness that inherited a request bills its bound where nobody can tell. */
  private billInherited(pick: number): void {
    const inherited = this.truth
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
