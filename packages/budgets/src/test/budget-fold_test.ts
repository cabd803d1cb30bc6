import {fc, test} from '@fast-check/vitest';
import {describe, expect, it} from 'vitest';

import {checkpointOf, foldFrom} from '../budget-checkpoint.js';
import {FleetModel} from './fleet-model.js';

const host = fc.nat(3);
const tokens = fc.nat(4_000);

/** One thing that happens, in whatever order. */
const step = fc.oneof(
  fc
    .tuple(host, tokens, tokens, fc.boolean())
    .map(([at, wish, least, urgent]) => (fleet: FleetModel) => {
      fleet.ask(at, wish, least, urgent);
    }),
  fc.tuple(host, tokens).map(([at, bound]) => (fleet: FleetModel) => {
    fleet.begin(at, bound);
  }),
  fc.tuple(host, tokens).map(([at, bound]) => (fleet: FleetModel) => {
    fleet.promise(at, bound);
  }),
  host.map(at => (fleet: FleetModel) => {
    fleet.deliver(at);
  }),
  host.map(at => (fleet: FleetModel) => {
    fleet.dropPromise(at);
  }),
  fc
    .tuple(host, fc.constantFrom(0, 0.3, 1))
    .map(([at, part]) => (fleet: FleetModel) => {
      fleet.end(at, part);
    }),
  fc.tuple(host, tokens).map(([at, amount]) => (fleet: FleetModel) => {
    fleet.giveBack(at, amount);
  }),
  fc
    .tuple(host, host, tokens, fc.boolean())
    .map(([from, to, wish, lost]) => (fleet: FleetModel) => {
      fleet.lend(from, to, wish, lost);
    }),
  host.map(at => (fleet: FleetModel) => {
    fleet.answerLate(at);
  }),
  host.map(at => (fleet: FleetModel) => {
    fleet.write(at);
  }),
  host.map(at => (fleet: FleetModel) => {
    fleet.write(at);
  }),
  fc.nat(200).map(index => (fleet: FleetModel) => {
    fleet.repeat(index);
  }),
  host.map(at => (fleet: FleetModel) => {
    fleet.restart(at);
  }),
  tokens.map(amount => (fleet: FleetModel) => {
    fleet.topUp(amount);
  }),
  tokens.map(amount => (fleet: FleetModel) => {
    fleet.lower(amount);
  }),
);

describe('BudgetFold', () => {
  test.prop([fc.array(step, {maxLength: 200, size: 'max'})], {
    seed: 20_261_203,
    numRuns: 400,
  })(
    'never lets spend pass what was paid, whatever happens in whatever order',
    steps => {
      const fleet = new FleetModel(4, 20_000);
      for (const run of steps) {
        run(fleet);
        expect(fleet.spent + fleet.held).toBeLessThanOrEqual(fleet.prepaid);
        expect(fleet.spent + fleet.held).toBeLessThanOrEqual(fleet.charged);
        expect(fleet.foldedSums).toEqual(fleet.sumsOverHolders);
      }
    },
  );

  test.prop([fc.array(step, {maxLength: 100, size: 'max'})], {
    seed: 7,
    numRuns: 100,
  })('goes on from a checkpoint as if it had read all', steps => {
    const fleet = new FleetModel(3, 20_000);
    for (const run of steps) {
      run(fleet);
    }
    const copy = foldFrom(checkpointOf(fleet.fold));
    expect(checkpointOf(copy)).toEqual(checkpointOf(fleet.fold));
    expect(copy.view('school')).toEqual(fleet.fold.view('school'));
  });

  it('grants nothing beyond a budget that was lowered', () => {
    // The caller sees 402. Half of the budget is granted; the operator sets it to a
    // third of what it was. What is held may still be used, and no more is given,
    // until a new configuration pays for more than was granted.
    const fleet = new FleetModel(2, 9_000);
    fleet.write(0);
    fleet.write(1);
    fleet.ask(0, 4_500, 4_500, true);
    fleet.write(0);
    fleet.lower(6_000);
    fleet.ask(1, 100, 100, true);
    fleet.write(1);
    expect(fleet.held).toBe(4_500);
    expect(fleet.fold.view('school')?.prepaid).toBe(fleet.newestPrepaid);
    fleet.topUp(2_000);
    fleet.ask(1, 500, 500, true);
    fleet.write(1);
    expect(fleet.held).toBe(5_000);
  });

  it('charges what a dead process held, and no more', () => {
    // The caller sees: after a restart of its host, requests go on. The process is
    // killed with tokens in hand, and its successor on the same host opens. Nobody
    // knows what the dead one spent, so that all that it held counts as spent; the
    // rest of the budget stays whole.
    const fleet = new FleetModel(2, 10_000);
    fleet.write(0);
    fleet.write(1);
    fleet.ask(0, 3_000, 3_000, true);
    fleet.write(0);
    fleet.restart(0);
    fleet.write(0);
    expect(fleet.fold.view('school')).toMatchObject({
      unallocated: 7_000,
      spent: 3_000,
    });
  });

  it('charges nothing for requests that had delivered nothing', () => {
    // The caller sees: after all hosts lost power at once, the rest of its budget is
    // still there. Each host runs a long prompt whose first event has not come; their
    // promises stand in no record, and the successors find the budget whole.
    const fleet = new FleetModel(4, 100_000);
    for (let at = 0; at < 4; at++) {
      fleet.ask(at, 1, 1, true);
      fleet.promise(at, 12_000);
      fleet.write(at);
    }
    for (let at = 0; at < 4; at++) {
      fleet.restart(at);
      fleet.write(at);
    }
    expect(fleet.fold.view('school')).toMatchObject({unallocated: 99_996});
  });

  it('does not open a dead process again when its first record comes late', () => {
    // The caller sees nothing. The store executes an append seconds late: the first
    // record of a process that has died since. Opening it would close its successor,
    // whose grants would then all count as spent.
    const fleet = new FleetModel(1, 10_000);
    fleet.write(0);
    fleet.restart(0);
    fleet.write(0);
    const before = [...fleet.fold.holders.keys()];
    fleet.repeat(0);
    expect([...fleet.fold.holders.keys()]).toEqual(before);
  });

  it('keeps a part of the rest in the store whatever the holders ask for', () => {
    // The caller sees: after all hosts lost power at once, a quarter of requests and
    // more are served again. Each host wishes for everything, and all die; what they
    // held is lost, and the part that the fold kept back is not.
    const fleet = new FleetModel(4, 10_000);
    for (let round = 0; round < 5; round++) {
      for (let at = 0; at < 4; at++) {
        fleet.ask(at, 10_000, 1, false);
        fleet.write(at);
      }
    }
    expect(fleet.fold.view('school')?.unallocated).toBeGreaterThanOrEqual(
      6_000,
    );
  });
});
