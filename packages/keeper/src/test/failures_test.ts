import {create, toBinary} from '@bufbuild/protobuf';
import {
  AbandonRequestSchema,
  BeginRequestSchema,
  BeginVerdict,
  LedgerBatchSchema,
} from '@wisteriadeal/schema';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import type {Keeper} from '../keeper.js';
import {Fleet, waitUntil} from './fleet.js';

const OPENING_TOKENS = 100_000;
/**
 * Well above the 100 ms after which the keepers of the test fleet settle
 * orphaned requests.
 */
const AFTER_ORPHAN_WAIT_MILLISECONDS = 1_000;

function appendEntries(
  fleet: Fleet,
  entries: NonNullable<
    Parameters<typeof create<typeof LedgerBatchSchema>>[1]
  >['entries'],
): void {
  fleet.store.append(
    'ledger-0',
    toBinary(
      LedgerBatchSchema,
      create(LedgerBatchSchema, {writer: 'operator', entries: entries ?? []}),
    ),
  );
}

/** Returns the grants of a keeper that are open on the log. */
function openGrantsOf(fleet: Fleet, {identity}: Keeper) {
  return fleet
    .ledger()
    .grants('org')
    .filter(grant => !grant.closed && grant.holder === identity.incarnation);
}

/**
 * Replicates the holder's books to a witness that the log has not named yet.
 */
async function replicateToCandidate(
  holder: Keeper,
  candidate: Keeper,
): Promise<void> {
  const {incarnation} = candidate.identity;
  const {grantManager, links, membership} = holder.parts;
  await waitUntil(() => membership.identityOf(incarnation) !== undefined);
  for (const holding of grantManager.forOrganisation('org').holdings.values()) {
    holding.candidate = incarnation;
    await links.linkTo(incarnation)?.send(holding.book.createOpenedChange());
  }
}

describe('failures', () => {
  let fleet: Fleet;

  beforeEach(() => {
    fleet = new Fleet();
  });

  afterEach(async () => {
    await fleet.close();
  });

  // The holder's process is lost while a request runs. Its witness fences and
  // reclaims the grant, and the router settles with the new holder. The caller
  // is charged once, and the unspent tokens can be reserved again.
  it('reclaims the grant of a lost holder and bills its request once', async () => {
    const keepers = [await fleet.add('a'), await fleet.add('a')];
    const holder = await fleet.holder('a');
    const successor = keepers.find(keeper => keeper !== holder) ?? holder;
    const routerAtSuccessor = fleet.router(successor);
    const answer = await fleet.router(holder).begin('r1', 100);
    await holder.kill();
    await waitUntil(
      () => fleet.ledger().grant('org', answer.grantId)?.closed === true,
    );
    await routerAtSuccessor.settle(answer, 30);
    const state = fleet.ledger().grant('org', answer.grantId);
    expect(state?.billedTokens).toBe(30);
    expect(state?.tokens).toBe(30);
    const next = await routerAtSuccessor.begin('r2', 100);
    expect(next.verdict).toBe(BeginVerdict.RESERVED);
  });

  // A holder is paused beyond every timeout, its grant is fenced, and it
  // resumes during a request. Its router begins another request. No reservation
  // under the old grant may be acknowledged, so that nothing is dispatched
  // under it even if endpoints do not check fencing.
  it('reserves nothing from a fenced grant after its holder was paused', async () => {
    const keepers = [await fleet.add('a'), await fleet.add('a')];
    const holder = await fleet.holder('a');
    const witness = keepers.find(keeper => keeper !== holder) ?? holder;
    const router = fleet.router(holder);
    const before = await router.begin('r1', 100);
    fleet.store.faults.outage = true;
    for (const id of holder.parts.grantManager
      .forOrganisation('org')
      .holdings.keys()) {
      witness.parts.witnessBook.fence(id);
    }
    const after = await router.begin('r2', 100);
    expect(before.verdict).toBe(BeginVerdict.RESERVED);
    expect([BeginVerdict.UNAVAILABLE, BeginVerdict.BUDGET]).toContain(
      after.verdict,
    );
  });

  it('bills nothing for a begin whose answer was lost with its holder', async () => {
    // Guards against a bill for a request that was reported to its caller as
    // not run.
    const keepers = [await fleet.add('a'), await fleet.add('a')];
    const holder = await fleet.holder('a');
    const witness = keepers.find(keeper => keeper !== holder) ?? holder;
    const router = fleet.router(holder);
    const answer = await router.begin('r1', 100, {beginNumber: 7});
    const routerAtWitness = fleet.router(witness);
    await holder.kill();
    const {requestId} = answer;
    const value = {requestId, organisation: 'org', lostBegins: [7]};
    routerAtWitness.send({
      case: 'abandon',
      value: create(AbandonRequestSchema, value),
    });
    await waitUntil(
      () => fleet.ledger().grant('org', answer.grantId)?.closed === true,
    );
    routerAtWitness.kill();
    await new Promise(resolve =>
      setTimeout(resolve, AFTER_ORPHAN_WAIT_MILLISECONDS),
    );
    expect(fleet.ledger().isBilled('org', 'r1')).toBe(false);
    expect(fleet.ledger().grant('org', answer.grantId)?.tokens).toBe(0);
  });

  it('bills a request after a late abandon message of another router', async () => {
    // Guards against an unbilled answer: the caller retried at another router
    // before the abandon message of the first router arrived.
    await fleet.add('a');
    await fleet.add('a');
    const holder = await fleet.holder('a');
    const first = fleet.router(holder, 'host/router/first');
    const second = fleet.router(holder, 'host/router/second');
    const answer = await second.begin('r1', 100, {beginNumber: 1});
    const {requestId} = answer;
    const value = {requestId, organisation: 'org', lostBegins: [1]};
    first.send({case: 'abandon', value: create(AbandonRequestSchema, value)});
    await first.begin('r2', 100);
    await second.settle(answer, 30);
    await waitUntil(() => fleet.ledger().isBilled('org', 'r1'));
    expect(fleet.ledger().totals('org').billedTokens).toBe(30);
  });

  it('bills a later begin of an abandoned request after its holder is lost', async () => {
    // Guards against a late abandon message that releases the reservation of
    // the running request at the witness.
    const keepers = [await fleet.add('a'), await fleet.add('a')];
    const holder = await fleet.holder('a');
    const witness = keepers.find(keeper => keeper !== holder) ?? holder;
    const router = fleet.router(holder);
    const answer = await router.begin('r1', 100, {beginNumber: 8});
    const routerAtWitness = fleet.router(witness);
    const {requestId} = answer;
    const value = {requestId, organisation: 'org', lostBegins: [7]};
    routerAtWitness.send({
      case: 'abandon',
      value: create(AbandonRequestSchema, value),
    });
    await holder.kill();
    await waitUntil(
      () => fleet.ledger().grant('org', answer.grantId)?.closed === true,
    );
    await routerAtWitness.settle(answer, 30);
    await waitUntil(() => fleet.ledger().isBilled('org', 'r1'));
    expect(fleet.ledger().totals('org').billedTokens).toBe(30);
  });

  // A router is killed with an open stream. The caller's retry at another
  // router resumes the same attempt under the same reservation, so there is one
  // bill.
  it('resumes the request of a killed router on a retry', async () => {
    await fleet.add('a');
    await fleet.add('a');
    const holder = await fleet.holder('a');
    const lost = fleet.router(holder, 'host/router/lost');
    const first = await lost.begin('r1', 100);
    lost.kill();
    await waitUntil(
      () => !holder.parts.sessions.hasSession('host/router/lost'),
    );
    const other = fleet.router(holder, 'host/router/other');
    const retry = await other.begin('r1', 100);
    expect(retry.verdict).toBe(BeginVerdict.RESUME);
    expect(retry.grantId).toBe(first.grantId);
    await other.settle(retry, 25);
    await waitUntil(() => fleet.ledger().isBilled('org', 'r1'));
    expect(fleet.ledger().totals('org').billedTokens).toBe(25);
  });

  it('resumes the request of a killed router at one router only', async () => {
    // Guards against two routers that run one attempt when a caller retries at
    // both at the same time.
    await fleet.add('a');
    await fleet.add('a');
    const holder = await fleet.holder('a');
    const lost = fleet.router(holder, 'host/router/lost');
    await lost.begin('r1', 100);
    lost.kill();
    await waitUntil(
      () => !holder.parts.sessions.hasSession('host/router/lost'),
    );
    const routers = ['host/router/second', 'host/router/third'].map(name =>
      fleet.router(holder, name),
    );
    await waitUntil(() =>
      routers.every(({incarnation}) =>
        holder.parts.sessions.hasSession(incarnation),
      ),
    );
    const begin = create(BeginRequestSchema, {
      requestId: 'r1',
      organisation: 'org',
      fingerprint: 'f',
      idempotent: true,
    });
    const answers = await Promise.all(
      routers.map(({incarnation}) =>
        holder.parts.requests.begin(begin, incarnation),
      ),
    );
    expect(answers.map(({verdict}) => verdict)).toEqual([
      BeginVerdict.RESUME,
      BeginVerdict.JOIN,
    ]);
  });

  // A router is killed, the caller does not retry and the engine is
  // unreachable. The bound is charged once, with a bill that is marked as
  // unconfirmed.
  it('charges the bound of an orphaned request with unknown usage', async () => {
    await fleet.add('a');
    await fleet.add('a');
    const holder = await fleet.holder('a');
    const lost = fleet.router(holder, 'host/router/lost');
    await lost.begin('r1', 100);
    lost.kill();
    await waitUntil(() => fleet.ledger().isBilled('org', 'r1'));
    expect(fleet.ledger().totals('org').billedTokens).toBe(100);
    const retry = await fleet.router(holder).begin('r1', 100);
    expect(retry.verdict).toBe(BeginVerdict.ANSWER_GONE);
  });

  // The platform stores records but its answers are lost. Callers are not
  // affected: each request has one bill, and each grant was granted once.
  it('bills once when answers of the log are lost', async () => {
    await fleet.add('a');
    await fleet.add('a');
    fleet.store.faults.answersToLose = 3;
    const router = fleet.router(await fleet.holder('a'));
    fleet.store.faults.answersToLose = 2;
    for (const id of ['r1', 'r2', 'r3']) {
      await router.settle(await router.begin(id, 100), 10);
    }
    await waitUntil(() => fleet.ledger().totals('org').billedTokens >= 30);
    expect(fleet.ledger().totals('org').billedTokens).toBe(30);
    expect(fleet.ledger().totals('org').creditedTokens).toBe(OPENING_TOKENS);
  });

  // The platform is unreachable. One data centre has spent its grant, and
  // another one that it can reach has spare tokens. Part of that grant is
  // transferred, and no caller is refused.
  it('moves grants between data centres while the platform is away', async () => {
    // No keeper may count as lost in this test, even if a busy machine delays
    // heartbeats.
    fleet.heartbeatLimitMilliseconds = 30_000;
    await fleet.add('a');
    await fleet.add('a');
    await fleet.add('b');
    await fleet.add('b');
    const routerA = fleet.router(await fleet.holder('a'));
    const holderB = await fleet.holder('b');
    fleet.store.faults.outage = true;
    const routerB = fleet.router(holderB);
    const held =
      holderB.parts.grantManager.forOrganisation('org').spendableTokens;
    const first = await routerB.begin('r1', held);
    const second = await routerB.begin('r2', 500);
    expect([first.verdict, second.verdict]).toEqual([
      BeginVerdict.RESERVED,
      BeginVerdict.RESERVED,
    ]);
    await routerB.settle(second, 400);
    fleet.store.faults.outage = false;
    await waitUntil(() => fleet.ledger().isBilled('org', 'r2'));
    expect((await routerA.begin('r3', 100)).verdict).toBe(
      BeginVerdict.RESERVED,
    );
  });

  // A data centre can't reach the platform but can reach another data centre.
  // The record of an operator's top-up arrives through the relay of that data
  // centre.
  it('reads a top-up through the relay of another data centre', async () => {
    await fleet.add('a');
    const remoteKeeper = await fleet.add('b');
    await fleet.holder('b');
    const log = fleet.logs[1];
    if (log !== undefined) {
      log.isDisconnected = true;
    }
    appendEntries(fleet, [
      {
        entryId: 'top-up-1',
        organisation: 'org',
        kind: {case: 'topUp', value: {tokens: 500}},
      },
    ]);
    await waitUntil(
      () =>
        remoteKeeper.parts.replicas.ledgerOf('org').totals('org')
          .creditedTokens ===
        OPENING_TOKENS + 500,
    );
  });

  // A host is replaced while the platform is unreachable. The new keeper has to
  // read the configuration in force and the ledger from a peer.
  it('initialises a new keeper from its peers during an outage', async () => {
    await fleet.add('a');
    await fleet.add('a');
    await fleet.holder('a');
    fleet.store.faults.outage = true;
    const newKeeper = await fleet.add('a');
    await waitUntil(() => newKeeper.parts.configuration.version === 1);
    await waitUntil(
      () =>
        newKeeper.parts.replicas.ledgerOf('org').totals('org')
          .creditedTokens === OPENING_TOKENS,
    );
  });

  // The hosts of the holder and of the witness are killed at once. No process
  // has the spent amount, so the grant stays stranded until an operator
  // releases it.
  it('strands a grant that lost holder and witness, until it is released', async () => {
    const killed = [await fleet.add('a'), await fleet.add('a')];
    const holder = await fleet.holder('a');
    const answer = await fleet.router(holder).begin('r1', 100);
    await Promise.all(killed.map(keeper => keeper.kill()));
    await fleet.add('a');
    expect(fleet.ledger().grant('org', answer.grantId)?.closed).toBe(false);
    appendEntries(fleet, [
      {
        entryId: 'release-1',
        organisation: 'org',
        kind: {case: 'strandedRelease', value: {grantId: answer.grantId}},
      },
    ]);
    expect(fleet.ledger().grant('org', answer.grantId)?.closed).toBe(true);
    expect(fleet.ledger().totals('org').billedTokens).toBe(0);
  });

  // Guards against answered requests that are never billed after a partition:
  // the holder dies while the log is unreachable, before the log has named its
  // witness.
  it('bills settled requests of a holder that died before its witness was named', async () => {
    const holder = await fleet.add('a');
    const router = fleet.router(holder);
    const answer = await router.begin('r1', 100);
    fleet.store.faults.outage = true;
    const candidate = await fleet.add('a');
    await replicateToCandidate(holder, candidate);
    void router.settle(answer, 30);
    const {witnessBook} = candidate.parts;
    await waitUntil(
      () => witnessBook.settledBills(answer.grantId).length === 1,
    );
    await holder.kill();
    fleet.store.faults.outage = false;
    await waitUntil(() => fleet.ledger().isBilled('org', 'r1'));
    expect(fleet.ledger().totals('org').billedTokens).toBe(30);
  });

  it('does not acknowledge a bill that the closed grant of its request can’t take', async () => {
    // Guards against an answer without a bill: a witness with a copy of a closed
    // grant's book can't have the bill accepted.
    await fleet.add('a');
    await fleet.add('a');
    const holder = await fleet.holder('a');
    const router = fleet.router(holder);
    const answer = await router.begin('r1', 100);
    const {grantManager} = holder.parts;
    const organisation = grantManager.forOrganisation('org');
    appendEntries(
      fleet,
      [...organisation.holdings.keys()].map(grantId => ({
        entryId: `release:${grantId}`,
        organisation: 'org',
        kind: {case: 'strandedRelease' as const, value: {grantId}},
      })),
    );
    await waitUntil(() => organisation.spendableTokens === 0);
    const settling = router.settle(answer, 30);
    const resending = setInterval(() => {
      void router.settle(answer, 30);
    }, 100);
    await settling;
    clearInterval(resending);
    expect(fleet.ledger().isBilled('org', 'r1')).toBe(true);
  });

  // On a graceful stop, a keeper returns its grants to the budget.
  it('returns its grants on a graceful stop', async () => {
    await fleet.add('a');
    await fleet.add('a');
    const holder = await fleet.holder('a');
    const router = fleet.router(holder);
    await router.settle(await router.begin('r1', 100), 10);
    await holder.close();
    expect(openGrantsOf(fleet, holder)).toEqual([]);
  });

  it('returns a grant that its witness has no book of', async () => {
    // Guards against tokens that stay unusable after the host has stopped.
    const keepers = [await fleet.add('a'), await fleet.add('a')];
    const holder = await fleet.holder('a');
    const witness = keepers.find(keeper => keeper !== holder) ?? holder;
    const router = fleet.router(holder);
    await router.settle(await router.begin('r1', 100), 10);
    const grantIds = [
      ...holder.parts.grantManager.forOrganisation('org').holdings.keys(),
    ];
    grantIds.forEach(id => {
      witness.parts.witnessBook.removeGrant(id);
    });
    const answer = await router.begin('r2', 100);
    expect(grantIds).toContain(answer.grantId);
    await router.settle(answer, 10);
    await holder.close();
    expect(openGrantsOf(fleet, holder)).toEqual([]);
  });

  it('returns a grant that its witness has fenced but that is open on the log', async () => {
    // Guards against tokens that stay unusable after the log has refused a
    // reclaim.
    const keepers = [await fleet.add('a'), await fleet.add('a')];
    const holder = await fleet.holder('a');
    const witness = keepers.find(keeper => keeper !== holder) ?? holder;
    const router = fleet.router(holder);
    const fenced = [
      ...holder.parts.grantManager.forOrganisation('org').holdings.keys(),
    ];
    fenced.forEach(id => {
      witness.parts.witnessBook.fence(id);
    });
    const answer = await router.begin('r1', 100);
    expect(fenced).not.toContain(answer.grantId);
    if (answer.verdict === BeginVerdict.RESERVED) {
      await router.settle(answer, 10);
    }
    await holder.close();
    expect(openGrantsOf(fleet, holder)).toEqual([]);
  });
});
