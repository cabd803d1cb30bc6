import {create} from '@bufbuild/protobuf';
import {
  BeginVerdict,
  BillSchema,
  KeepEntriesRequestSchema,
  TransferSchema,
  type BookChange,
} from '@wisteriadeal/schema';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import type {Keeper} from '../keeper.js';
import {billEntry, ledgerEntry} from '../ledger-entries.js';
import {Acknowledgement} from '../witness-link.js';
import {Fleet, waitUntil} from './fleet.js';

/** Returns a keeper of the fleet by its incarnation. */
function keeperOf(fleet: Fleet, incarnation: string): Keeper {
  const found = fleet.keepers.find(
    ({identity}) => identity.incarnation === incarnation,
  );
  if (found === undefined) {
    throw new Error(`no keeper ${incarnation}`);
  }
  return found;
}

/** Starts three keepers of one data centre and returns the holder. */
async function startHolder(fleet: Fleet): Promise<Keeper> {
  await fleet.add('a');
  await fleet.add('a');
  await fleet.add('a');
  await waitUntil(() =>
    fleet.keepers.every(
      ({parts}) => parts.membership.reachablePeers.length === 2,
    ),
  );
  return fleet.holder('a');
}

/** Returns the holder's grant under which a witness has a request reserved. */
function reservedGrant(fleet: Fleet, holder: Keeper, requestId: string) {
  const {holdings} = holder.parts.grantManager.forOrganisation('org');
  const found = [...holdings.values()].find(({grantId, witness}) =>
    fleet.keepers.some(
      ({identity, parts}) =>
        identity.incarnation === witness &&
        parts.witnessBook
          .openReservations(grantId)
          .some(open => open.reservation?.requestId === requestId),
    ),
  );
  if (found === undefined) {
    throw new Error(`no witness has a reservation of ${requestId}`);
  }
  return found;
}

describe('entries that a keeper can’t append', () => {
  let fleet: Fleet;

  beforeEach(() => {
    fleet = new Fleet();
  });

  afterEach(async () => {
    await fleet.close();
  });

  it('reclaims a grant whose witness died after it had fenced it in an outage', async () => {
    // Guards against answers without a bill and tokens that stay in a grant
    // when hosts of a partitioned data centre are lost one after the other.
    const holder = await startHolder(fleet);
    const router = fleet.router(holder);
    const running = await router.begin('r1', 100);
    const answered = await router.begin('r2', 100);
    const witness = keeperOf(fleet, answered.witness);
    const third = fleet.keepers.find(
      keeper => keeper !== holder && keeper !== witness,
    );
    fleet.store.faults.outage = true;
    await router.settle(answered, 30);
    await holder.kill();
    await waitUntil(
      () =>
        witness.parts.witnessBook.isFenced(running.grantId) &&
        third?.parts.keptEntries.kinds.includes('reclaim') === true,
    );
    await witness.kill();
    fleet.store.faults.outage = false;
    const {grantId} = running;
    await waitUntil(
      () => fleet.ledger().grant('org', grantId)?.closed === true,
    );
    await waitUntil(() => fleet.ledger().isBilled('org', 'r1'));
    expect(fleet.ledger().isBilled('org', 'r2')).toBe(true);
    const {tokens, billedTokens} = fleet.ledger().grant('org', grantId) ?? {};
    expect(tokens).toBe(billedTokens);
  });

  it('acknowledges a settlement at another keeper than the holder once a peer keeps the bill', async () => {
    // Guards against an answer without a bill: the bill would be lost with the
    // only keeper that has it.
    const holder = await startHolder(fleet);
    const answer = await fleet.router(holder).begin('r1', 100);
    fleet.store.faults.outage = true;
    await holder.kill();
    const [first, second] = fleet.keepers.filter(keeper => keeper !== holder);
    if (first === undefined || second === undefined) {
      throw new Error('two keepers must be left');
    }
    await waitUntil(() => !first.parts.health.isReachable('ledger-0'));
    await fleet.router(first).settle(answer, 30);
    await first.kill();
    expect(second.parts.keptEntries.size).toBeGreaterThan(0);
    fleet.store.faults.outage = false;
    await waitUntil(() => fleet.ledger().isBilled('org', 'r1'));
    expect(fleet.ledger().totals('org').billedTokens).toBe(30);
  });

  it('hands kept entries to another keeper when the keeper that has them stops', async () => {
    // Guards against an acknowledged bill that is lost when hosts are replaced
    // one after the other in an outage.
    const [first, second] = [await fleet.add('a'), await fleet.add('a')];
    await waitUntil(
      () =>
        first.parts.membership.reachablePeers.length === 1 &&
        second.parts.membership.reachablePeers.length === 1,
    );
    await fleet.holder('a');
    fleet.store.faults.outage = true;
    await waitUntil(() => !first.parts.health.isReachable('ledger-0'));
    const bill = create(BillSchema, {
      requestId: 'r1',
      grantId: 'g1',
      tokens: 30,
    });
    first.parts.keptEntries.keep(
      create(KeepEntriesRequestSchema, {
        writer: 'lost-keeper',
        stream: 'ledger-0',
        entries: [billEntry('org', bill)],
      }),
    );
    await first.close();
    expect(second.parts.keptEntries.kinds).toEqual(['bill']);
    fleet.store.faults.outage = false;
    await waitUntil(() => fleet.ledger().isBilled('org', 'r1'));
  });

  it('appends the entries of a data centre that can’t reach the log', async () => {
    // Guards against bills that wait in one data centre although another one
    // that it reaches can append them.
    await fleet.add('a');
    await fleet.add('b');
    const holder = await fleet.holder('a');
    const router = fleet.router(holder);
    const answer = await router.begin('r1', 100);
    const [log] = fleet.logs;
    if (log !== undefined) {
      log.isDisconnected = true;
    }
    await router.settle(answer, 30);
    await waitUntil(() => fleet.ledger().isBilled('org', 'r1'));
    await waitUntil(() => holder.parts.appender.pendingEntries === 0);
  });

  it('releases the reservation of a refused begin that a reclaim lists', async () => {
    // Guards against a bill for a request that a slow holder reported as not
    // run after its witness had taken it for lost.
    const holder = await startHolder(fleet);
    const others = fleet.keepers.filter(keeper => keeper !== holder);
    for (const {identity} of others) {
      const link = holder.parts.links.linkTo(identity.incarnation);
      if (link === undefined) {
        throw new Error('the other keepers must be known');
      }
      const send = link.send.bind(link);
      vi.spyOn(link, 'send').mockImplementation(async (change: BookChange) => {
        if (change.kind.case === 'reserved') {
          await send(change);
        }
        return Acknowledgement.Unconfirmed;
      });
    }
    const router = fleet.router(holder);
    const refused = await router.begin('r1', 100, {beginNumber: 3});
    expect(refused.verdict).toBe(BeginVerdict.UNAVAILABLE);
    const {grantId, witness} = reservedGrant(fleet, holder, 'r1');
    const {witnessBook, appender} = keeperOf(fleet, witness).parts;
    witnessBook.fence(grantId);
    const value = witnessBook.reclaim(grantId, witness);
    if (value === undefined) {
      throw new Error('the grant is not fenced');
    }
    expect(value.openReservations.map(({requestId}) => requestId)).toEqual([
      'r1',
    ]);
    await appender.submit(
      ledgerEntry('reclaim:forced', 'org', {case: 'reclaim', value}),
    );
    await waitUntil(
      () => fleet.ledger().grant('org', grantId)?.inherited.length === 0,
    );
    expect(fleet.ledger().isBilled('org', 'r1')).toBe(false);
    expect(fleet.ledger().grant('org', grantId)?.tokens).toBe(0);
  });

  it('accepts a transfer that only a reclaim of the sending holder lists', async () => {
    // Guards against tokens that stay in a transferred grant which its receiver
    // never opens.
    const holder = await startHolder(fleet);
    const [holding] = holder.parts.grantManager
      .forOrganisation('org')
      .holdings.values();
    const {grantId = '', witness = ''} = holding ?? {};
    const receiver = fleet.keepers.find(
      ({identity}) =>
        identity !== holder.identity && identity.incarnation !== witness,
    );
    const toHolder = receiver?.identity.incarnation ?? '';
    const transfer = create(TransferSchema, {
      transferId: 'transfer-1',
      fromGrant: grantId,
      tokens: 500,
      toHolder,
      toWitness: witness,
      toDataCenter: 'a',
    });
    const {witnessBook, appender} = keeperOf(fleet, witness).parts;
    const change = holding?.book.transferOut(transfer);
    if (change !== undefined) {
      await holder.parts.links.linkTo(witness)?.send(change);
    }
    await holder.kill();
    witnessBook.fence(grantId);
    const value = witnessBook.reclaim(grantId, witness);
    if (value === undefined) {
      throw new Error('the grant is not fenced');
    }
    await appender.submit(
      ledgerEntry('reclaim:forced', 'org', {case: 'reclaim', value}),
    );
    await waitUntil(
      () =>
        receiver?.parts.grantManager.holding('org', 'transfer-1') !==
          undefined ||
        fleet.ledger().grant('org', 'transfer-1')?.closed === true,
    );
  });
});
