import {
  EngineRole,
  type EngineInventory,
  type FleetTarget,
  type ModelTarget,
} from './engine-inventory.js';
import {PlannedOrderKind} from './engine-order.js';
import type {FleetView} from './order-planner.js';

/** A change that the target asks for, before any limit. */
export interface OrderWish {
  readonly engine: EngineInventory;
  readonly kind: PlannedOrderKind;
  readonly subject: string;
  readonly fetchesWeights: boolean;
  /** Whether the engine serves less while it is carried out. */
  readonly disturbs: boolean;
}

/**
 * Slots beyond the demand, as a part of it, below which a model is given another
 * engine. Load: demand for one model grows. Harm: at nine tenths of the slots
 * work begins to queue, and loading takes minutes.
 */
const HEADROOM = 0.25;

function holds(engine: EngineInventory, model: string): boolean {
  return engine.models.some(loaded => loaded.model === model);
}

function versionWishes(
  engine: EngineInventory,
  target: ModelTarget,
): OrderWish[] {
  const isOld = engine.models.some(
    ({model, version}) => model === target.model && version !== target.version,
  );
  const subject = `${target.model}@${target.version}`;
  const kind = PlannedOrderKind.ChangeVersion;
  return isOld
    ? [{engine, kind, subject, fetchesWeights: true, disturbs: true}]
    : [];
}

function adapterWishes(
  engine: EngineInventory,
  target: ModelTarget,
): OrderWish[] {
  if (!holds(engine, target.model)) {
    return [];
  }
  return target.adapters
    .filter(adapter => !engine.adapters.includes(adapter))
    .map(subject => ({
      engine,
      kind: PlannedOrderKind.LoadAdapter,
      subject,
      fetchesWeights: true,
      disturbs: false,
    }));
}

function roleWishes(engine: EngineInventory, target: FleetTarget): OrderWish[] {
  const role = target.roles.get(engine.endpoint) ?? EngineRole.General;
  return engine.role === role
    ? []
    : [
        {
          engine,
          kind: PlannedOrderKind.ChangeRole,
          subject: role,
          fetchesWeights: false,
          disturbs: true,
        },
      ];
}

/** The engine with room that serves the fewest models, for a scarce model. */
function scarcityWishes(
  engines: readonly EngineInventory[],
  target: ModelTarget,
): OrderWish[] {
  const slots = engines
    .filter(engine => holds(engine, target.model))
    .reduce((sum, engine) => sum + engine.slots / engine.models.length, 0);
  const isEnough = slots > 0 && slots >= target.demandedSlots * (1 + HEADROOM);
  const [engine] = engines
    .filter(each => !holds(each, target.model))
    .filter(each => each.models.length < each.maximumModels)
    .toSorted((left, right) => left.models.length - right.models.length);
  return isEnough || engine === undefined
    ? []
    : [
        {
          engine,
          kind: PlannedOrderKind.LoadModel,
          subject: `${target.model}@${target.version}`,
          fetchesWeights: true,
          disturbs: false,
        },
      ];
}

/** Everything that the target asks for, the most urgent first. */
export function wishesFor({engines, target}: FleetView): readonly OrderWish[] {
  const staying = engines.filter(engine => !engine.leaving);
  const {models} = target;
  return [
    ...models.flatMap(model => scarcityWishes(staying, model)),
    ...models.flatMap(model =>
      staying.flatMap(engine => adapterWishes(engine, model)),
    ),
    ...models.flatMap(model =>
      staying.flatMap(engine => versionWishes(engine, model)),
    ),
    ...staying.flatMap(engine => roleWishes(engine, target)),
  ];
}
