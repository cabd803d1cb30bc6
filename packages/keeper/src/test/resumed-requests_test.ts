import {create} from '@bufbuild/protobuf';
import {
  AbandonRequestSchema,
  BeginVerdict,
  type BeginAnswer,
} from '@wisteriadeal/schema';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import type {Keeper} from '../keeper.js';
import {RequestPhase} from '../request-registry.js';
import {Fleet, waitUntil, type FakeRouter} from './fleet.js';

const LOST_ROUTER = 'host/router/lost';
const RESUMING_ROUTER = 'host/router/resuming';
const BEGIN_OF_LOST_ROUTER = 7;
/**
 * Well above the 100 ms after which the keepers of the test fleet settle
 * orphaned requests.
 */
const AFTER_ORPHAN_WAIT_MILLISECONDS = 1_000;

interface ResumedRequest {
  readonly witness: Keeper;
  readonly router: FakeRouter;
  readonly answer: BeginAnswer;
}

function delay(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}

/** Loses the holder and the router of a request, and resumes it elsewhere. */
async function resumeInherited(fleet: Fleet): Promise<ResumedRequest> {
  const keepers = [
    await fleet.add('a'),
    await fleet.add('a'),
    await fleet.add('a'),
  ];
  await waitUntil(() =>
    keepers.every(({parts}) => parts.membership.reachablePeers.length === 2),
  );
  const holder = await fleet.holder('a');
  const lost = fleet.router(holder, LOST_ROUTER);
  const first = await lost.begin('r1', 100, {
    beginNumber: BEGIN_OF_LOST_ROUTER,
  });
  const witness =
    keepers.find(({identity}) => identity.incarnation === first.witness) ??
    holder;
  // Keeps the request open until it is resumed.
  const settling = witness.parts.orphans;
  const review = settling.review.bind(settling);
  settling.review = () => undefined;
  lost.kill();
  await holder.kill();
  await waitUntil(() => witness.parts.registry.get('r1') !== undefined);
  const request = witness.parts.registry.get('r1');
  if (request !== undefined) {
    witness.parts.registry.enterPhase(request, RequestPhase.Orphaned);
  }
  const others = keepers.filter(
    keeper => keeper !== holder && keeper !== witness,
  );
  others.forEach(keeper => fleet.router(keeper, RESUMING_ROUTER));
  const router = fleet.router(witness, RESUMING_ROUTER);
  const answer = await router.begin('r1', 100, {beginNumber: 3});
  settling.review = review;
  return {witness, router, answer};
}

describe('a resumed request of a lost holder', () => {
  let fleet: Fleet;

  beforeEach(() => {
    fleet = new Fleet();
  });

  afterEach(async () => {
    await fleet.close();
  });

  it('is billed though the router before reports its begin as not run', async () => {
    // Guards against tokens that are spent twice: the reservation was released
    // while the request was running at another router.
    const {witness, router, answer} = await resumeInherited(fleet);
    expect(answer.verdict).toBe(BeginVerdict.RESUME);
    fleet.router(witness, LOST_ROUTER).send({
      case: 'abandon',
      value: create(AbandonRequestSchema, {
        requestId: 'r1',
        organisation: 'org',
        lostBegins: [BEGIN_OF_LOST_ROUTER],
        throughBegin: BEGIN_OF_LOST_ROUTER,
      }),
    });
    await delay(AFTER_ORPHAN_WAIT_MILLISECONDS);
    const {inherited} = fleet.ledger().grant('org', answer.grantId) ?? {};
    expect(inherited?.map(({requestId}) => requestId)).toEqual(['r1']);
    await router.settle(answer, 30);
    await waitUntil(() => fleet.ledger().isBilled('org', 'r1'));
    expect(fleet.ledger().totals('org').billedTokens).toBe(30);
  });

  it('is not settled by the keeper that takes it over when its keeper stops', async () => {
    // Guards against an answer that is cut, and billed unconfirmed, because the
    // next keeper knows only the router before.
    const {witness, answer} = await resumeInherited(fleet);
    expect(answer.verdict).toBe(BeginVerdict.RESUME);
    await witness.close();
    await delay(AFTER_ORPHAN_WAIT_MILLISECONDS);
    expect(fleet.ledger().isBilled('org', 'r1')).toBe(false);
  });
});
