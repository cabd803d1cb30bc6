import {create} from '@bufbuild/protobuf';
import {
  BeginVerdict,
  BillSchema,
  Outcome,
  SettleRequestSchema,
} from '@wisteriadeal/schema';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import type {Keeper} from '../keeper.js';
import {ReserveOutcome, type ReserveAnswer} from '../organisation-grants.js';
import {RequestPhase} from '../request-registry.js';
import {Fleet, waitUntil} from './fleet.js';

/**
 * Well above the 100 ms after which the keepers of the test fleet settle
 * orphaned requests.
 */
const AFTER_ORPHAN_WAIT_MILLISECONDS = 1_000;

/**
 * Well above the sum of the heartbeat limit, the fence delay and the orphan
 * wait of the test fleet (0.5 s).
 */
const RECOVERY_LIMIT_MILLISECONDS = 5_000;

interface LocalKeepers {
  readonly holder: Keeper;
  readonly others: readonly Keeper[];
}

/** Starts keepers of one data centre that all know each other. */
async function startKeepers(
  fleet: Fleet,
  count: number,
): Promise<LocalKeepers> {
  for (let started = 0; started < count; started++) {
    await fleet.add('a');
  }
  await waitUntil(() =>
    fleet.keepers.every(
      ({parts}) => parts.membership.reachablePeers.length === count - 1,
    ),
  );
  const holder = await fleet.holder('a');
  const {holdings} = holder.parts.grantManager.forOrganisation('org');
  await waitUntil(() =>
    [...holdings.values()].every(
      ({witness, candidate}) => witness !== '' && candidate === undefined,
    ),
  );
  return {holder, others: fleet.keepers.filter(keeper => keeper !== holder)};
}

/** Splits the other keepers into the witness and the one that is neither. */
function splitOthers(
  {others}: LocalKeepers,
  witness: string,
): {readonly witness: Keeper; readonly third: Keeper} {
  const named = others.find(({identity}) => identity.incarnation === witness);
  const third = others.find(({identity}) => identity.incarnation !== witness);
  if (named === undefined || third === undefined) {
    throw new Error('the grant has no witness among three keepers');
  }
  return {witness: named, third};
}

describe('requests whose processes are lost one after the other', () => {
  let fleet: Fleet;

  beforeEach(() => {
    fleet = new Fleet();
  });

  afterEach(async () => {
    vi.restoreAllMocks();
    await fleet.close();
  });

  it('bills an inherited request after the keeper that reclaimed its grant is lost too', async () => {
    // Guards against a request that ran and is never billed, and its tokens
    // that stay in a closed grant for ever.
    const keepers = await startKeepers(fleet, 3);
    const {holder} = keepers;
    const router = fleet.router(holder);
    const answer = await router.begin('r1', 100);
    const {witness} = splitOthers(keepers, answer.witness);
    // The witness is lost before its wait for the caller's retry has ended.
    vi.spyOn(witness.parts.orphans, 'review').mockReturnValue(undefined);
    router.kill();
    await holder.kill();
    await waitUntil(
      () => fleet.ledger().grant('org', answer.grantId)?.closed === true,
    );
    await witness.kill();
    await expect
      .poll(() => fleet.ledger().isBilled('org', 'r1'), {
        timeout: RECOVERY_LIMIT_MILLISECONDS,
      })
      .toBe(true);
    expect(fleet.ledger().grant('org', answer.grantId)?.tokens).toBe(100);
  });

  it('bills a settled request whose witness and holder are lost in turn while the log is unreachable', async () => {
    // Guards against an answered request without a bill although another keeper
    // of the data centre was in reach all the time.
    const keepers = await startKeepers(fleet, 3);
    const {holder} = keepers;
    const router = fleet.router(holder);
    const {requestId, grantId, witness} = await router.begin('r1', 100);
    const others = splitOthers(keepers, witness);
    fleet.store.faults.outage = true;
    await others.witness.kill();
    const bill = create(BillSchema, {
      requestId,
      grantId,
      tokens: 30,
      confirmed: true,
      outcome: Outcome.ANSWERED,
    });
    router.send({
      case: 'settle',
      value: create(SettleRequestSchema, {
        requestId,
        grantId,
        organisation: 'org',
        bill,
      }),
    });
    const {witnessBook} = others.third.parts;
    await expect
      .poll(() => witnessBook.settledBills(grantId).length, {
        timeout: RECOVERY_LIMIT_MILLISECONDS,
      })
      .toBe(1);
    router.kill();
    await holder.kill();
    fleet.store.faults.outage = false;
    await waitUntil(() => fleet.ledger().isBilled('org', 'r1'));
    expect(fleet.ledger().totals('org').billedTokens).toBe(30);
  });

  it('settles an inherited request whose retry was refused while the grant was reclaimed', async () => {
    // Guards against a request that ran and is never billed: its caller's retry
    // waits for tokens when the reservation is inherited, and then fails.
    const {holder, others} = await startKeepers(fleet, 2);
    const [witness = holder] = others;
    const {membership, reclaimer, grantManager} = witness.parts;
    const lostRouter = fleet.router(holder, 'host/router/lost');
    const {grantId} = await lostRouter.begin('r1', 100);
    const heldReview = vi.spyOn(reclaimer, 'review').mockReturnValue(undefined);
    let refuse: () => void = () => undefined;
    const refused = new Promise<ReserveAnswer>(resolve => {
      refuse = () => {
        resolve({outcome: ReserveOutcome.Unavailable, hasReleased: false});
      };
    });
    const reserve = vi
      .spyOn(grantManager.forOrganisation('org'), 'reserve')
      .mockReturnValue(refused);
    lostRouter.kill();
    await holder.kill();
    await waitUntil(
      () => membership.holderOf('org') === witness.identity.incarnation,
    );
    const retry = fleet.router(witness, 'host/router/retry').begin('r1', 100);
    await waitUntil(() => reserve.mock.calls.length === 1);
    heldReview.mockRestore();
    await waitUntil(
      () => fleet.ledger().grant('org', grantId)?.closed === true,
    );
    await waitUntil(
      () =>
        witness.parts.replicas.ledgerOf('org').grant('org', grantId)?.closed ===
        true,
    );
    refuse();
    expect((await retry).verdict).toBe(BeginVerdict.UNAVAILABLE);
    await expect
      .poll(() => fleet.ledger().isBilled('org', 'r1'), {
        timeout: RECOVERY_LIMIT_MILLISECONDS,
      })
      .toBe(true);
  });

  it('does not track an inherited request that is billed already', async () => {
    // Guards against a graceful stop that waits for a request which has ended,
    // until the stop is cut short with tokens still in grants.
    const {holder, others} = await startKeepers(fleet, 2);
    const [witness = holder] = others;
    const {reclaimer, registry, replicas} = witness.parts;
    const routerAtWitness = fleet.router(witness);
    const answer = await fleet.router(holder).begin('r1', 100);
    const heldReview = vi.spyOn(reclaimer, 'review').mockReturnValue(undefined);
    await holder.kill();
    await routerAtWitness.settle(answer, 30);
    expect(replicas.ledgerOf('org').isBilled('org', 'r1')).toBe(true);
    heldReview.mockRestore();
    await waitUntil(
      () =>
        replicas.ledgerOf('org').grant('org', answer.grantId)?.closed === true,
    );
    expect(registry.inPhase(RequestPhase.Running)).toEqual([]);
  });

  it('does not settle a request for its router while that router is live at another keeper', async () => {
    // Guards against an unconfirmed bill of the whole bound in place of the
    // measured one, when only the connection to the holder is lost.
    const {holder, others} = await startKeepers(fleet, 2);
    const [other] = others;
    const routerAtOther = fleet.router(other ?? holder);
    const {incarnation} = routerAtOther;
    const {membership, sessions} = holder.parts;
    await waitUntil(() => membership.liveRouter(incarnation) !== undefined);
    const router = fleet.router(holder);
    const answer = await router.begin('r1', 100);
    router.kill();
    await waitUntil(() => !sessions.hasSession(incarnation));
    expect(membership.liveRouter(incarnation)).toBeDefined();
    await new Promise(resolve =>
      setTimeout(resolve, AFTER_ORPHAN_WAIT_MILLISECONDS),
    );
    await routerAtOther.settle(answer, 30);
    await waitUntil(() => fleet.ledger().isBilled('org', 'r1'));
    expect(fleet.ledger().totals('org').billedTokens).toBe(30);
  });
});
