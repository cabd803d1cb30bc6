import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import type {Keeper} from '../keeper.js';
import {Fleet, waitUntil} from './fleet.js';

/** Well above the heartbeat interval and the review interval (0.27 s). */
const CHANGE_LIMIT = {timeout: 5_000};

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
  const holder = await fleet.holder('a');
  const {holdings} = holder.parts.grantManager.forOrganisation('org');
  await waitUntil(() =>
    [...holdings.values()].every(
      ({witness, candidate}) => witness !== '' && candidate === undefined,
    ),
  );
  return holder;
}

function keeperOf(fleet: Fleet, incarnation: string): Keeper {
  const found = fleet.keepers.find(
    ({identity}) => identity.incarnation === incarnation,
  );
  if (found === undefined) {
    throw new Error(`no keeper ${incarnation}`);
  }
  return found;
}

describe('a witness that stops gracefully', () => {
  let fleet: Fleet;

  beforeEach(() => {
    fleet = new Fleet();
    // A graceful stop of a keeper without requests takes less time than this.
    fleet.heartbeatLimitMilliseconds = 3_000;
  });

  afterEach(async () => {
    await fleet.close();
  });

  it('submits the bills of a holder that was lost just before', async () => {
    // Guards against answered requests without a bill, and a grant that nobody
    // can reclaim, when hosts are lost and replaced one after the other.
    const holder = await startHolder(fleet);
    const router = fleet.router(holder);
    const answer = await router.begin('r1', 100);
    const witness = keeperOf(fleet, answer.witness);
    // The witness has the bill and the holder has not appended it.
    fleet.store.faults.outage = true;
    await router.settle(answer, 30);
    expect(witness.parts.witnessBook.settledBills(answer.grantId)).toHaveLength(
      1,
    );
    await holder.kill();
    fleet.store.faults.outage = false;
    await witness.close();
    expect(fleet.ledger().totals('org').billedTokens).toBe(30);
  });

  it('is replaced before it has stopped', async () => {
    // Guards against a grant without a live witness for a heartbeat limit after
    // each graceful stop; a holder that is lost then strands the grant.
    const holder = await startHolder(fleet);
    const {grantId, witness} = await fleet.router(holder).begin('r1', 100);
    const {membership} = keeperOf(fleet, witness).parts;
    membership.startLeaving();
    await expect
      .poll(
        () => holder.parts.grantManager.holding('org', grantId)?.witness,
        CHANGE_LIMIT,
      )
      .not.toBe(witness);
  });
});
