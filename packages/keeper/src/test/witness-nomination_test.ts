import {BeginVerdict} from '@wisteriadeal/schema';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import type {Keeper} from '../keeper.js';
import {witnessChangeEntry} from '../ledger-entries.js';
import {Fleet, waitUntil} from './fleet.js';

/** Whether a keeper has received the nomination for a grant. */
function isNominated({parts}: Keeper, grantId: string): boolean {
  return parts.witnessBook.nomination(grantId) !== undefined;
}

/** Whether the log shows the grant as closed. */
function isClosed(fleet: Fleet, grantId: string): boolean {
  return fleet.ledger().grant('org', grantId)?.closed === true;
}

describe('witness nomination', () => {
  let fleet: Fleet;

  beforeEach(() => {
    fleet = new Fleet();
  });

  afterEach(async () => {
    await fleet.close();
  });

  it('reclaims a grant whose holder and witness died one after the other in an outage', async () => {
    // Guards against tokens that stay in the grants of a replaced data centre,
    // and against answers without a bill.
    const keepers = [await fleet.add('a'), await fleet.add('a')];
    const holder = await fleet.holder('a');
    const witness = keepers.find(keeper => keeper !== holder) ?? holder;
    const router = fleet.router(holder);
    const running = await router.begin('r1', 100);
    const answered = await router.begin('r2', 100);
    fleet.store.faults.outage = true;
    await witness.kill();
    const replacement = await fleet.add('a');
    await waitUntil(() => isNominated(replacement, running.grantId));
    await router.settle(answered, 30);
    await holder.kill();
    fleet.store.faults.outage = false;
    await waitUntil(() => isClosed(fleet, running.grantId));
    const routerAtReplacement = fleet.router(replacement);
    await routerAtReplacement.settle(running, 20);
    expect(fleet.ledger().isBilled('org', 'r2')).toBe(true);
    expect(fleet.ledger().totals('org').billedTokens).toBe(50);
    expect(fleet.ledger().grant('org', running.grantId)?.tokens).toBe(50);
  });

  it('reserves under a grant without a witness once a peer is nominated in an outage', async () => {
    // Guards against refusals in a partition, and against a grant that nobody
    // can reclaim after its holder has died.
    const holder = await fleet.add('a');
    const {grantId} = await fleet.router(holder).begin('r1', 100);
    fleet.store.faults.outage = true;
    // In another data centre, so that the first keeper stays the holder.
    const peer = await fleet.add('b');
    await waitUntil(() => isNominated(peer, grantId));
    const answer = await fleet.router(holder).begin('r2', 100);
    expect(answer.verdict).toBe(BeginVerdict.RESERVED);
    await holder.kill();
    fleet.store.faults.outage = false;
    await waitUntil(() => isClosed(fleet, grantId));
    const inherited = fleet
      .ledger()
      .grants('org')
      .flatMap(grant => grant.inherited.map(({requestId}) => requestId));
    expect(inherited.sort()).toEqual(['r1', 'r2']);
  });

  it('keeps its own change of witness in force when the nominee appends it as well', async () => {
    // Guards against a second change of witness by a nominee that took its
    // holder for lost.
    const holder = await fleet.add('a');
    const witness = await fleet.add('b');
    await fleet.holder('a');
    const router = fleet.router(holder);
    const {grantId} = await router.begin('r1', 100);
    fleet.store.faults.outage = true;
    await witness.kill();
    // In another data centre, so that the first keeper stays the holder.
    const replacement = await fleet.add('b');
    await waitUntil(() => isNominated(replacement, grantId));
    const nomination = replacement.parts.witnessBook.nomination(grantId);
    const {entryId = '', from = '', changeNumber = 0} = nomination ?? {};
    const to = replacement.identity.incarnation;
    void replacement.parts.appender.submit(
      witnessChangeEntry(entryId, 'org', {grantId, from, to, changeNumber}),
    );
    fleet.store.faults.outage = false;
    await waitUntil(() => fleet.ledger().grant('org', grantId)?.witness === to);
    await waitUntil(
      () =>
        holder.parts.appender.pendingEntries === 0 &&
        replacement.parts.appender.pendingEntries === 0,
    );
    const {witnessChanges} = fleet.ledger().grant('org', grantId) ?? {};
    expect(witnessChanges).toBe(changeNumber);
    expect((await router.begin('r2', 100)).verdict).toBe(BeginVerdict.RESERVED);
  });
});
