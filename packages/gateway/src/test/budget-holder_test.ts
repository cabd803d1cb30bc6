import {ChargePoint} from '@wisteriadeal/budgets';
import {CallTimeoutError, Fate, StepError} from '@wisteriadeal/platform';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import type {BudgetHolder} from '../budget-holder.js';
import type {TokenRequest} from '../organisation-budget.js';
import {BudgetRefusal} from '../token-waiters.js';
import {BUDGET_PARTITION} from '../budget-topics.js';
import {HolderFleet, SCHOOL, waitUntil} from './holder-fleet.js';

const PREPAID = 100_000;
const REQUEST = 2_500;
const LARGE_REQUEST = 30_000;
/** Longer than a holder's pause between two reads of the log. */
const LONGER_THAN_POLL_MILLISECONDS = 900;
/** From one read of the log by an idle holder to the next, milliseconds. */
const POLL_OFFSETS_MILLISECONDS = Array.from(
  {length: 70},
  (_, step) => 10 * step,
);
const WAIT = {milliseconds: 3_000, signal: new AbortController().signal};

let fleet: HolderFleet;

beforeEach(() => {
  fleet = new HolderFleet(PREPAID);
});

afterEach(() => {
  fleet.close();
  vi.useRealTimers();
});

function available(holder: BudgetHolder): number {
  return holder.describe(SCHOOL)?.available ?? 0;
}

/** What the log can still grant, as a holder knows. */
function unallocated(holder: BudgetHolder): number {
  return holder.describe(SCHOOL)?.unallocated ?? 0;
}

/** Lets the test's own time pass until something is done. */
async function withFakeTimers<Result>(work: Promise<Result>): Promise<Result> {
  const ended = new AbortController();
  const end = () => {
    ended.abort();
  };
  work.then(end, end);
  while (!ended.signal.aborted) {
    await vi.advanceTimersByTimeAsync(1);
  }
  return work;
}

function tokenRequest(bound: number, mayPromise: boolean): TokenRequest {
  return {bound, mayPromise};
}

/** Cuts hosts off from the log, and waits until each has seen it. */
async function isolateHosts(hosts: readonly string[]): Promise<void> {
  hosts.forEach(host => fleet.isolatedHosts.add(host));
  const isLost = (host: string) =>
    fleet.events.some(
      line => line.event === 'store lost' && line.host === host,
    );
  await waitUntil(() => hosts.every(isLost));
}

/** Blocks the process, as a machine that is busy elsewhere does. */
function blockEventLoop(milliseconds: number): void {
  const never = new Int32Array(new SharedArrayBuffer(4));
  Atomics.wait(never, 0, 0, milliseconds);
}

/** Blocks the process after each first read of the log by a holder. */
function blockAfterInitialReads(milliseconds: number): void {
  const {log} = fleet;
  const newest = log.newest.bind(log);
  log.newest = async partition => {
    const records = await newest(partition);
    blockEventLoop(milliseconds);
    return records;
  };
}

/** What a call of the store ends with whose answer did not come in time. */
function callTimeout(): StepError {
  const cause = new CallTimeoutError(false, 1_200);
  return new StepError('read', 'store', Fate.Unknown, cause.message, {cause});
}

/** One request that uses its whole bound; whether it was let in. */
async function spend(holder: BudgetHolder, tokens: number): Promise<boolean> {
  const result = await holder.reservations.reserve(
    SCHOOL,
    tokenRequest(tokens, false),
  );
  if ('refusal' in result) {
    return false;
  }
  holder.reservations.settle(result.reservation, tokens);
  return true;
}

/** One request that uses a part of its bound within a second. */
async function spendPart(
  holder: BudgetHolder,
  bound: number,
  used: number,
): Promise<void> {
  const result = await holder.reservations.reserve(
    SCHOOL,
    tokenRequest(bound, false),
  );
  await new Promise(resolve => setTimeout(resolve, 1_000));
  if ('reservation' in result) {
    holder.reservations.settle(result.reservation, used);
  }
}

describe('BudgetHolder', () => {
  it('hands what it has left to another holder when it stops in an outage', async () => {
    // The caller sees its requests served. Hosts are stopped in turn while the store
    // is away; what a stopped host can't return there would be lost with it, a
    // twentieth of each budget each time.
    const stopping = await fleet.start('one');
    const staying = await fleet.start('two');
    await waitUntil(() => available(stopping) > 0 && available(staying) > 0);
    fleet.log.faults.isAway = true;
    await waitUntil(() =>
      fleet.events.some(
        ({event, host}) => event === 'store lost' && host === 'one',
      ),
    );
    const before = available(stopping) + available(staying);
    await stopping.close();
    expect(available(stopping)).toBe(0);
    expect(available(staying)).toBe(before);
  });

  it('never spends what a stopped holder gave and its successor charges', async () => {
    // The caller sees a refusal once the budget is used up, and not a token later.
    // A successor opens on the stopped host: all that its predecessor held counts as
    // spent, also what another holder has taken over and spends.
    const stopping = await fleet.start('one');
    const staying = await fleet.start('two');
    await waitUntil(() => available(stopping) > 0);
    fleet.log.faults.isAway = true;
    await waitUntil(() =>
      fleet.events.some(
        ({event, host}) => event === 'store lost' && host === 'one',
      ),
    );
    await stopping.close();
    fleet.kill('one');
    fleet.log.faults.isAway = false;
    const successor = await fleet.start('one');
    let spent = 0;
    for (const holder of [staying, successor, staying, successor]) {
      while (await spend(holder, REQUEST)) {
        spent += REQUEST;
      }
    }
    expect(spent).toBeLessThanOrEqual(PREPAID);
    expect(spent).toBeGreaterThan(0.9 * PREPAID);
  });

  it('waits for a slow store that has enough, and says so when it is silent', async () => {
    // The caller is served, half a second later than usual. The store takes 0.3 s to
    // answer, as it does on slow days; the other hosts have nothing to lend. A store
    // that says nothing at all is named as the reason, and not others' hands.
    const holder = await fleet.start('one');
    await fleet.start('two');
    await waitUntil(() => available(holder) > 0);
    fleet.log.faults.answerAfterMilliseconds = 150;
    expect(await spend(holder, 40_000)).toBe(true);
    fleet.log.faults.answerAfterMilliseconds = 1_000;
    expect(
      await holder.reservations.reserve(SCHOOL, tokenRequest(30_000, false)),
    ).toEqual({
      refusal: BudgetRefusal.StoreUnavailable,
    });
  });

  it.each(POLL_OFFSETS_MILLISECONDS)(
    'waits for a slow store that has enough, at each moment of others’ polls (%i ms)',
    async laterMilliseconds => {
      // Guards against a lender that fetches what the borrower has asked the store for.
      vi.useFakeTimers();
      const holder = await withFakeTimers(fleet.start('one'));
      await withFakeTimers(fleet.start('two'));
      await withFakeTimers(waitUntil(() => available(holder) > 0));
      await vi.advanceTimersByTimeAsync(laterMilliseconds);
      fleet.log.faults.answerAfterMilliseconds = 150;
      expect(await withFakeTimers(spend(holder, 40_000))).toBe(true);
      fleet.log.faults.answerAfterMilliseconds = 1_000;
      const late = holder.reservations.reserve(
        SCHOOL,
        tokenRequest(LARGE_REQUEST, false),
      );
      expect(await withFakeTimers(late)).toEqual({
        refusal: BudgetRefusal.StoreUnavailable,
      });
    },
  );

  it.each([0, 180, 360, 540, 690])(
    'waits for a slow store that has enough, and says so when it is silent (%i ms later)',
    async laterMilliseconds => {
      // The caller is served, half a second later than usual. The store takes 0.3 s to
      // answer, as it does on slow days; the other hosts have nothing to lend. A store
      // that says nothing at all is named as the reason, and not others' hands.
      vi.useFakeTimers();
      const holder = await withFakeTimers(fleet.start('one'));
      const other = await withFakeTimers(fleet.start('two'));
      const haveUsualGrants = () =>
        [holder, other].every(
          one => available(one) > 0 && available(one) < LARGE_REQUEST / 2,
        );
      await withFakeTimers(waitUntil(haveUsualGrants));
      await vi.advanceTimersByTimeAsync(laterMilliseconds);
      fleet.log.faults.answerAfterMilliseconds = 150;
      expect(await withFakeTimers(spend(holder, 40_000))).toBe(true);
      // A lender that sees the store fetches tokens, too late here, and returns them.
      await withFakeTimers(
        waitUntil(
          () => haveUsualGrants() && unallocated(holder) >= LARGE_REQUEST,
        ),
      );
      fleet.log.faults.answerAfterMilliseconds = 1_000;
      const late = holder.reservations.reserve(
        SCHOOL,
        tokenRequest(LARGE_REQUEST, false),
      );
      expect(await withFakeTimers(late)).toEqual({
        refusal: BudgetRefusal.StoreUnavailable,
      });
    },
  );

  it.each([70, 140, 190])(
    'waits for the log while an exchange under way is late (after %i ms)',
    async lateMilliseconds => {
      // Guards against refusals before the log was asked for tokens that it has.
      vi.useFakeTimers();
      const holder = await withFakeTimers(fleet.start('one'));
      await withFakeTimers(fleet.start('two'));
      await withFakeTimers(waitUntil(() => holder.holders === 2));
      await withFakeTimers(waitUntil(() => available(holder) > 0));
      await vi.advanceTimersByTimeAsync(LONGER_THAN_POLL_MILLISECONDS);
      const reading = vi.spyOn(fleet.log, 'read');
      fleet.log.faults.answerAfterMilliseconds = 200;
      await withFakeTimers(waitUntil(() => reading.mock.calls.length === 2));
      await vi.advanceTimersByTimeAsync(lateMilliseconds);
      expect(await withFakeTimers(spend(holder, LARGE_REQUEST))).toBe(true);
    },
  );

  describe('whose host’s full link delays the store’s answers', () => {
    const DELAY_MILLISECONDS = 900;
    let holder: BudgetHolder;

    beforeEach(async () => {
      vi.useFakeTimers();
      holder = await withFakeTimers(fleet.start('one'));
      await withFakeTimers(waitUntil(() => available(holder) > 0));
      fleet.link.delayMilliseconds = DELAY_MILLISECONDS;
      fleet.log.faults.answerAfterMilliseconds = DELAY_MILLISECONDS;
    });

    it('waits for a grant as long as it takes to come', async () => {
      // Guards against refusals for tokens that nobody has been granted.
      expect(await withFakeTimers(spend(holder, LARGE_REQUEST))).toBe(true);
    });

    it('waits for a grant although a call has timed out', async () => {
      // Guards against an outage that is made of a late answer.
      vi.spyOn(fleet.log, 'read').mockRejectedValueOnce(callTimeout());
      await withFakeTimers(
        waitUntil(() => fleet.events.some(({event}) => event === 'store lost')),
      );
      expect(fleet.events).toContainEqual(
        expect.objectContaining({event: 'store lost', isLinkDelay: true}),
      );
      expect(await withFakeTimers(spend(holder, LARGE_REQUEST))).toBe(true);
    });

    it('refuses at once after calls have timed out for seconds', async () => {
      // Guards against callers that wait for a store that is away behind a full link.
      vi.spyOn(fleet.log, 'read').mockImplementation(() =>
        Promise.reject(callTimeout()),
      );
      await withFakeTimers(
        waitUntil(() => fleet.events.some(({event}) => event === 'store lost')),
      );
      await vi.advanceTimersByTimeAsync(3_000);
      const startedAt = performance.now();
      const refused = holder.reservations.reserve(
        SCHOOL,
        tokenRequest(LARGE_REQUEST, false),
      );
      expect(await withFakeTimers(refused)).toEqual({
        refusal: BudgetRefusal.StoreUnavailable,
      });
      expect(performance.now() - startedAt).toBeLessThan(100);
    });

    it('waits no longer than the request has time', async () => {
      // Guards against callers that are told too late to come back.
      const startedAt = performance.now();
      const late = holder.reservations.reserve(SCHOOL, {
        ...tokenRequest(LARGE_REQUEST, false),
        remainingMilliseconds: 600,
      });
      expect(await withFakeTimers(late)).toHaveProperty('refusal');
      expect(performance.now() - startedAt).toBeLessThanOrEqual(601);
    });

    it('refuses while the caller has time for another host', async () => {
      // Guards against requests that are held for tokens until their time is over.
      fleet.link.delayMilliseconds = 5_000;
      fleet.log.faults.answerAfterMilliseconds = 5_000;
      const startedAt = performance.now();
      const late = holder.reservations.reserve(SCHOOL, {
        ...tokenRequest(LARGE_REQUEST, false),
        remainingMilliseconds: 10_000,
      });
      expect(await withFakeTimers(late)).toHaveProperty('refusal');
      expect(performance.now() - startedAt).toBeLessThanOrEqual(1_501);
    });

    it('lets requests begin on what the log has while its answers are awaited', async () => {
      // Guards against a late answer that is taken for a store that is away.
      await vi.advanceTimersByTimeAsync(2 * DELAY_MILLISECONDS);
      for (let step = 0; step < 20; step++) {
        await vi.advanceTimersByTimeAsync(100);
        const begun = holder.reservations.reserve(
          SCHOOL,
          tokenRequest(REQUEST, true),
        );
        expect(await withFakeTimers(begun)).toMatchObject({
          reservation: {chargePoint: ChargePoint.Delivery},
        });
      }
    });
  });

  it('has one lender at a time ask the store for what a cut-off host needs', async () => {
    // Guards against refusals elsewhere for tokens that were fetched several times.
    vi.useFakeTimers();
    const borrower = await withFakeTimers(fleet.start('one'));
    const others: BudgetHolder[] = [];
    for (const host of ['two', 'three', 'four']) {
      others.push(await withFakeTimers(fleet.start(host)));
    }
    const all = [borrower, ...others];
    await withFakeTimers(waitUntil(() => all.every(one => available(one) > 0)));
    await vi.advanceTimersByTimeAsync(LONGER_THAN_POLL_MILLISECONDS);
    await withFakeTimers(isolateHosts(['one']));
    expect(await withFakeTimers(spend(borrower, LARGE_REQUEST))).toBe(true);
    await vi.advanceTimersByTimeAsync(LONGER_THAN_POLL_MILLISECONDS);
    const held = all.reduce((sum, one) => sum + available(one), 0);
    expect(held).toBeLessThan(LARGE_REQUEST);
  });

  it('finds a lender that sees the store behind those that are cut off too', async () => {
    // Guards against refusals in a data centre that only others can help.
    vi.useFakeTimers();
    const names = ['one', 'two', 'three', 'four', 'five', 'six'];
    const all: BudgetHolder[] = [];
    for (const host of names) {
      all.push(await withFakeTimers(fleet.start(host)));
    }
    await withFakeTimers(waitUntil(() => all.every(one => available(one) > 0)));
    await vi.advanceTimersByTimeAsync(LONGER_THAN_POLL_MILLISECONDS);
    await withFakeTimers(isolateHosts(names.slice(0, 4)));
    for (const holder of all.slice(0, 4)) {
      expect(await withFakeTimers(spend(holder, 10_000))).toBe(true);
    }
  });

  it('serves all that wait at once while other holders have all that is kept in hand', async () => {
    // Guards against a grant for one request in each exchange with a store that is late.
    vi.useFakeTimers();
    const holder = await withFakeTimers(fleet.start('one'));
    const busy = await withFakeTimers(fleet.start('two'));
    for (let request = 0; request < 12; request++) {
      expect(await withFakeTimers(spend(busy, 2_000))).toBe(true);
      await vi.advanceTimersByTimeAsync(100);
    }
    await vi.advanceTimersByTimeAsync(LONGER_THAN_POLL_MILLISECONDS);
    fleet.link.delayMilliseconds = 300;
    fleet.log.faults.answerAfterMilliseconds = 300;
    const waiting = Array.from({length: 20}, () => spend(holder, 2_000));
    expect(unallocated(holder)).toBeGreaterThan(20 * 2_000);
    const served = await withFakeTimers(Promise.all(waiting));
    expect(served.filter(isServed => isServed)).toHaveLength(20);
  });

  it('leaves the end of a budget to the hosts that its callers are led to', async () => {
    // Guards against refusals while a host without callers keeps the last tokens.
    vi.useFakeTimers();
    const leaving = await withFakeTimers(fleet.start('one'));
    const holder = await withFakeTimers(fleet.start('two'));
    const running: Promise<void>[] = [];
    while (unallocated(leaving) > 2_000) {
      running.push(spendPart(leaving, 4_000, 2_000));
      await vi.advanceTimersByTimeAsync(100);
    }
    await withFakeTimers(Promise.all(running));
    vi.spyOn(leaving.lender, 'lend').mockRejectedValue(new Error('silent'));
    leaving.setLeaving(true);
    expect(available(leaving)).toBeGreaterThan(10_000);
    await vi.advanceTimersByTimeAsync(LONGER_THAN_POLL_MILLISECONDS);
    expect(await withFakeTimers(spend(holder, 10_000))).toBe(true);
  });

  it('keeps what it holds while its callers are led away and the log has plenty', async () => {
    // Guards against records that help nobody.
    vi.useFakeTimers();
    const holder = await withFakeTimers(fleet.start('one'));
    await withFakeTimers(waitUntil(() => available(holder) > 0));
    await vi.advanceTimersByTimeAsync(2 * LONGER_THAN_POLL_MILLISECONDS);
    const before = available(holder);
    const appending = vi.spyOn(fleet.log, 'append');
    holder.setLeaving(true);
    await vi.advanceTimersByTimeAsync(2 * LONGER_THAN_POLL_MILLISECONDS);
    expect(available(holder)).toBe(before);
    expect(appending).not.toHaveBeenCalled();
  });

  it('serves a request that comes while the log denies more in hand', async () => {
    // Callers were refused, or waited for loans, though the log had their tokens.
    const holder = await fleet.start('one');
    await waitUntil(() => available(holder) > 0.05 * PREPAID);
    fleet.log.faults.answerAfterMilliseconds = 40;
    fleet.changeBudget(PREPAID + 1);
    await new Promise(resolve => setTimeout(resolve, 10));
    expect(await spend(holder, available(holder) + 20_000)).toBe(true);
  });

  it('leaves a successor few records to read', async () => {
    // The callers of a host that was killed are served a quarter of a second sooner.
    // Its successor reads the log from the newest checkpoint; holders write one in
    // turn, each after a thousand records, and not all of them at once.
    await fleet.start('one');
    await fleet.start('two');
    await fleet.start('three');
    const foreign = Array.from({length: 1_000}, () => Uint8Array.of(0xff));
    await fleet.log.append(BUDGET_PARTITION, foreign);
    await waitUntil(() =>
      fleet.events.some(({event}) => event === 'budget checkpoint written'),
    );
    await fleet.start('four');
    const events = fleet.events.map(({event}) => event);
    const written = events.filter(
      event => event === 'budget checkpoint written',
    );
    expect(written).toHaveLength(1);
    expect(events).toContain('budget checkpoint read');
  });

  it.each([0, 10])(
    'gets a loan whose answer was lost from the lender’s record (held up for %i ms)',
    async heldMilliseconds => {
      // The caller sees its later requests served. Loans are made while the store is
      // away, and every answer is lost: the tokens are off the lender's account and
      // nobody has them until the store is back and the record is read.
      const borrower = await fleet.start('one');
      const lender = await fleet.start('two');
      for (let request = 0; request < 4; request++) {
        expect(await spend(lender, REQUEST)).toBe(true);
      }
      if (heldMilliseconds > 0) {
        // Both holders' reads are due at once.
        blockEventLoop(LONGER_THAN_POLL_MILLISECONDS);
        blockAfterInitialReads(heldMilliseconds);
      }
      await waitUntil(() => available(lender) > 2 * REQUEST);
      // A holder knows the others from the log alone.
      await waitUntil(() => borrower.holders === 2);
      fleet.log.faults.isAway = true;
      await waitUntil(() =>
        fleet.events.some(
          ({event, host}) => event === 'store lost' && host === 'one',
        ),
      );
      fleet.faults.losesAnswers = true;
      const before = available(borrower) + available(lender);
      expect(await spend(borrower, available(borrower) + REQUEST)).toBe(false);
      const lost = before - available(borrower) - available(lender);
      expect(lost).toBeGreaterThan(REQUEST);
      fleet.log.faults.isAway = false;
      await waitUntil(() =>
        fleet.events.some(({event}) => event === 'lost loan found on the log'),
      );
      fleet.faults.losesAnswers = false;
      let spent = 4 * REQUEST;
      for (const holder of [borrower, lender, borrower]) {
        while (await spend(holder, REQUEST)) {
          spent += REQUEST;
        }
      }
      expect(PREPAID - spent).toBeLessThanOrEqual(REQUEST);
    },
  );

  it('serves a request by a loan that its own late link held up, and takes it once', async () => {
    // Guards against refusals while a lender's answer waits at this host's link.
    const borrower = await fleet.start('one');
    const lender = await fleet.start('two');
    for (let request = 0; request < 4; request++) {
      expect(await spend(lender, REQUEST)).toBe(true);
    }
    await waitUntil(() => available(lender) > 2 * REQUEST);
    await waitUntil(() => borrower.holders === 2);
    fleet.log.faults.isAway = true;
    await waitUntil(() =>
      fleet.events.some(
        ({event, host}) => event === 'store lost' && host === 'one',
      ),
    );
    fleet.link.delayMilliseconds = 200;
    fleet.faults.answerDelayMilliseconds = 300;
    const large = available(borrower) + REQUEST;
    expect(await spend(borrower, large)).toBe(true);
    // The lender that has answered is asked again at once.
    const another = available(borrower) + REQUEST;
    expect(await spend(borrower, another)).toBe(true);
    fleet.faults.answerDelayMilliseconds = 0;
    fleet.link.delayMilliseconds = 0;
    fleet.log.faults.isAway = false;
    await waitUntil(() =>
      ['one', 'two'].every(host =>
        fleet.events.some(
          ({event, host: of}) => event === 'store regained' && of === host,
        ),
      ),
    );
    let spent = 4 * REQUEST + large + another;
    for (const holder of [borrower, lender, borrower]) {
      while (await spend(holder, REQUEST)) {
        spent += REQUEST;
      }
    }
    expect(spent).toBeLessThanOrEqual(PREPAID);
    expect(PREPAID - spent).toBeLessThanOrEqual(REQUEST);
  });

  it('charges nothing for answers that were not there when all hosts died', async () => {
    // The caller sees: after all hosts lost power at once, its budget is there. Each
    // host runs requests whose first event has not come, and promised their tokens.
    const holders = [await fleet.start('one'), await fleet.start('two')];
    await waitUntil(() => holders.every(holder => available(holder) > 0));
    for (const holder of holders) {
      for (let request = 0; request < 10; request++) {
        const result = await holder.reservations.reserve(
          SCHOOL,
          tokenRequest(REQUEST, true),
        );
        expect(result).toMatchObject({
          reservation: {chargePoint: ChargePoint.Delivery},
        });
      }
    }
    const held = holders.reduce((sum, holder) => sum + available(holder), 0);
    fleet.kill('one');
    fleet.kill('two');
    const successor = await fleet.start('one');
    await fleet.start('two');
    await waitUntil(() => available(successor) > 0);
    expect(successor.describe(SCHOOL)?.spentKnown).toBeLessThanOrEqual(held);
    expect(
      fleet.events.filter(
        ({event}) => event === 'grant of an ended process closed',
      ),
    ).toHaveLength(2);
  });

  it('takes promised tokens from the store when the answer is there', async () => {
    // The caller sees its whole answer. Its bound is more than the host has in hand,
    // the store has it, and the answer waits for one exchange with the store.
    const holder = await fleet.start('one');
    await waitUntil(() => available(holder) > 0);
    const bound = available(holder) + 20_000;
    const begun = await holder.reservations.reserve(
      SCHOOL,
      tokenRequest(bound, true),
    );
    expect('reservation' in begun).toBe(true);
    if ('reservation' in begun) {
      const taken = await holder.reservations.take(begun.reservation, WAIT);
      expect(taken.refusal).toBeUndefined();
      holder.reservations.settle(taken.reservation, bound);
      expect(holder.describe(SCHOOL)).toMatchObject({
        promised: 0,
        reserved: 0,
        spentHere: bound,
      });
    }
  });

  it('holds a ready answer back until the store is back, before new requests', async () => {
    // The caller sees its answer late, and whole. The store goes away while the
    // request runs, and the host has too little in hand; a request that comes then is
    // refused at once as not run.
    const holder = await fleet.start('one');
    await waitUntil(() => available(holder) > 0);
    const bound = available(holder) + 20_000;
    const begun = await holder.reservations.reserve(
      SCHOOL,
      tokenRequest(bound, true),
    );
    fleet.log.faults.isAway = true;
    await waitUntil(() =>
      fleet.events.some(({event}) => event === 'store lost'),
    );
    expect(
      await holder.reservations.reserve(SCHOOL, tokenRequest(bound, true)),
    ).toEqual({
      refusal: BudgetRefusal.StoreUnavailable,
    });
    if ('reservation' in begun) {
      const taken = holder.reservations.take(begun.reservation, WAIT);
      fleet.log.faults.isAway = false;
      expect((await taken).refusal).toBeUndefined();
    }
    expect(holder.describe(SCHOOL)).toMatchObject({reserved: bound});
  });

  it('stops waiting for tokens when the caller leaves', async () => {
    // Tokens that come later go to others: the caller closed its connection while its
    // answer waited for the store.
    const holder = await fleet.start('one');
    await waitUntil(() => available(holder) > 0);
    const begun = await holder.reservations.reserve(
      SCHOOL,
      tokenRequest(available(holder) + 20_000, true),
    );
    fleet.log.faults.isAway = true;
    const leaving = new AbortController();
    if ('reservation' in begun) {
      const taken = holder.reservations.take(begun.reservation, {
        ...WAIT,
        signal: leaving.signal,
      });
      leaving.abort();
      const {reservation, refusal} = await taken;
      expect(refusal).toBeDefined();
      holder.reservations.settle(reservation, 0);
    }
    expect(holder.describe(SCHOOL)).toMatchObject({promised: 0, waiting: 0});
  });

  it('takes no tokens for a caller that left before its answer came', async () => {
    // The next caller is served: nobody stands before it in line whose connection is
    // closed already.
    const holder = await fleet.start('one');
    await waitUntil(() => available(holder) > 0);
    const begun = await holder.reservations.reserve(
      SCHOOL,
      tokenRequest(available(holder) + 20_000, true),
    );
    const left = {...WAIT, signal: AbortSignal.abort()};
    if ('reservation' in begun) {
      const taken = await holder.reservations.take(begun.reservation, left);
      expect(taken.refusal).toBeDefined();
      holder.reservations.settle(taken.reservation, 0);
    }
    expect(holder.describe(SCHOOL)).toMatchObject({promised: 0, waiting: 0});
    expect(await spend(holder, REQUEST)).toBe(true);
  });
});
