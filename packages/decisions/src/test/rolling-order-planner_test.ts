import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {
  EngineRole,
  OrderOutcome,
  PlannedOrderKind,
  RollingOrderPlanner,
  WeightBudget,
  type EngineInventory,
  type FleetTarget,
  type PlannedOrder,
} from '../index.js';

const FETCH_INTERVAL_MILLISECONDS = 10_000;
const BURST = 2;
const FIRST_FENCING_NUMBER = 7_000_000;

function engine(
  position: number,
  changes: Partial<EngineInventory> = {},
): EngineInventory {
  return {
    endpoint: `engine-${position}`,
    models: [{model: 'tutor-7b', version: '1'}],
    adapters: [],
    role: EngineRole.General,
    slots: 16,
    leaving: false,
    checksFencingNumbers: true,
    maximumModels: 2,
    ...changes,
  };
}

const NEW_VERSION: FleetTarget = {
  models: [{model: 'tutor-7b', version: '2', adapters: [], demandedSlots: 10}],
  roles: new Map(),
};

function createPlanner(unfencedOrdersFrom = 0): RollingOrderPlanner {
  return new RollingOrderPlanner({
    weightBudget: new WeightBudget(BURST, FETCH_INTERVAL_MILLISECONDS, 0),
    firstFencingNumber: FIRST_FENCING_NUMBER,
    unfencedOrdersFrom,
  });
}

function applyOrder(
  engines: EngineInventory[],
  {endpoint, kind, subject}: PlannedOrder,
): void {
  const position = engines.findIndex(each => each.endpoint === endpoint);
  const before = engines[position];
  const [model = '', version = ''] = subject.split('@');
  if (before !== undefined && kind === PlannedOrderKind.ChangeVersion) {
    engines[position] = {...before, models: [{model, version}]};
  }
}

describe('RollingOrderPlanner', () => {
  it('updates every engine to the new version, a quarter at a time', () => {
    const planner = createPlanner();
    const engines = Array.from({length: 8}, (_, position) => engine(position));
    const numbers: number[] = [];
    for (
      let now = 0;
      now < 20 * FETCH_INTERVAL_MILLISECONDS;
      now += FETCH_INTERVAL_MILLISECONDS
    ) {
      const orders = planner.plan({engines, target: NEW_VERSION}, now);
      expect(orders.length).toBeLessThanOrEqual(2);
      for (const order of orders) {
        numbers.push(order.fencingNumber);
        applyOrder(engines, order);
        planner.ended(order, OrderOutcome.Done, now);
      }
    }
    expect(engines.map(each => each.models[0]?.version)).toEqual(
      engines.map(() => '2'),
    );
    expect(numbers).toEqual(numbers.toSorted((left, right) => left - right));
    expect(new Set(numbers).size).toBe(numbers.length);
    expect(numbers[0]).toBeGreaterThanOrEqual(FIRST_FENCING_NUMBER);
  });

  it('loads a model with too few slots on an engine with memory left', () => {
    const target: FleetTarget = {
      models: [
        {model: 'tutor-70b', version: '1', adapters: [], demandedSlots: 4},
      ],
      roles: new Map(),
    };
    const orders = createPlanner().plan({engines: [engine(0)], target}, 0);
    expect(orders).toMatchObject([
      {kind: PlannedOrderKind.LoadModel, subject: 'tutor-70b@1'},
    ]);
  });

  // The planner does not receive the outcome of an order. The engine ignores
  // fencing numbers and may still carry out the order after a later one, which
  // would restore an old version. Nothing more is ordered until the lost order
  // can no longer be in progress.
  it('waits after an unknown outcome if fencing numbers are ignored', () => {
    const planner = createPlanner();
    const engines = [engine(0, {checksFencingNumbers: false})];
    const [order] = planner.plan({engines, target: NEW_VERSION}, 0);
    if (order === undefined) {
      throw new Error('no order');
    }
    planner.ended(order, OrderOutcome.Unknown, 1_000);
    const view = {engines, target: NEW_VERSION};
    expect(planner.plan(view, 100_000)).toEqual([]);
    expect(planner.plan(view, 121_000)).toHaveLength(1);
  });

  it('sends no orders at first to engines that ignore fencing numbers', () => {
    const engines = [engine(0, {checksFencingNumbers: false}), engine(1)];
    const orders = createPlanner(50_000).plan(
      {engines, target: NEW_VERSION},
      0,
    );
    expect(orders.map(({endpoint}) => endpoint)).toEqual(['engine-1']);
  });

  it('plans no orders after being fenced', () => {
    const planner = createPlanner();
    const view = {engines: [engine(0)], target: NEW_VERSION};
    const [order] = planner.plan(view, 0);
    if (order === undefined) {
      throw new Error('no order');
    }
    planner.ended(order, OrderOutcome.Fenced, 1);
    expect(planner.plan(view, 1_000_000)).toEqual([]);
  });

  it('never fetches beyond the limit', () => {
    fc.assert(
      fc.property(
        fc.array(fc.nat({max: 5_000}), {minLength: 1, maxLength: 60}),
        gaps => {
          const budget = new WeightBudget(
            BURST,
            FETCH_INTERVAL_MILLISECONDS,
            0,
          );
          let now = 0;
          let taken = 0;
          for (const gap of gaps) {
            now += gap;
            taken += budget.tryTake(now) ? 1 : 0;
            expect(taken).toBeLessThanOrEqual(
              BURST + now / FETCH_INTERVAL_MILLISECONDS,
            );
          }
        },
      ),
      {seed: 6},
    );
  });
});
