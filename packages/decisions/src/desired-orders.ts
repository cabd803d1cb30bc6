import {
  EngineRole,
  type EngineInventory,
  type FleetTarget,
  type ModelTarget,
} from './engine-inventory.js';
import {PlannedOrderKind} from './engine-order.js';
import type {FleetView} from './order-planner.js';

/** A change that leads to the target, before any limit is applied. */
export interface DesiredOrder {
  readonly engine: EngineInventory;
  readonly kind: PlannedOrderKind;
  readonly subject: string;
  readonly fetchesWeights: boolean;
  /** Whether the engine serves less while the order is carried out. */
  readonly reducesCapacity: boolean;
}

/**
 * Minimum number of slots beyond the demand, as a share of the demand; below it
 * a model is loaded on another engine. When the demand for a model grows,
 * requests start to queue at nine tenths of the slots, and loading a model
 * takes minutes.
 */
const SLOT_HEADROOM_SHARE = 0.25;

function hasModel(engine: EngineInventory, model: string): boolean {
  return engine.models.some(loaded => loaded.model === model);
}

function versionOrders(
  engine: EngineInventory,
  target: ModelTarget,
): DesiredOrder[] {
  const isOld = engine.models.some(
    ({model, version}) => model === target.model && version !== target.version,
  );
  const subject = `${target.model}@${target.version}`;
  const kind = PlannedOrderKind.ChangeVersion;
  return isOld
    ? [{engine, kind, subject, fetchesWeights: true, reducesCapacity: true}]
    : [];
}

function adapterOrders(
  engine: EngineInventory,
  target: ModelTarget,
): DesiredOrder[] {
  if (!hasModel(engine, target.model)) {
    return [];
  }
  return target.adapters
    .filter(adapter => !engine.adapters.includes(adapter))
    .map(subject => ({
      engine,
      kind: PlannedOrderKind.LoadAdapter,
      subject,
      fetchesWeights: true,
      reducesCapacity: false,
    }));
}

function roleOrders(
  engine: EngineInventory,
  target: FleetTarget,
): DesiredOrder[] {
  const role = target.roles.get(engine.endpoint) ?? EngineRole.General;
  return engine.role === role
    ? []
    : [
        {
          engine,
          kind: PlannedOrderKind.ChangeRole,
          subject: role,
          fetchesWeights: false,
          reducesCapacity: true,
        },
      ];
}

/**
 * Loads a model without enough slots on the engine that has memory left and
 * serves the fewest models.
 */
function scarceModelOrders(
  engines: readonly EngineInventory[],
  target: ModelTarget,
): DesiredOrder[] {
  const slots = engines
    .filter(engine => hasModel(engine, target.model))
    .reduce((sum, engine) => sum + engine.slots / engine.models.length, 0);
  const hasEnoughSlots =
    slots > 0 && slots >= target.demandedSlots * (1 + SLOT_HEADROOM_SHARE);
  const [engine] = engines
    .filter(each => !hasModel(each, target.model))
    .filter(each => each.models.length < each.maximumModels)
    .toSorted((left, right) => left.models.length - right.models.length);
  return hasEnoughSlots || engine === undefined
    ? []
    : [
        {
          engine,
          kind: PlannedOrderKind.LoadModel,
          subject: `${target.model}@${target.version}`,
          fetchesWeights: true,
          reducesCapacity: false,
        },
      ];
}

/** Returns all changes that lead to the target, the most urgent first. */
export function desiredOrders({
  engines,
  target,
}: FleetView): readonly DesiredOrder[] {
  const staying = engines.filter(engine => !engine.leaving);
  const {models} = target;
  return [
    ...models.flatMap(model => scarceModelOrders(staying, model)),
    ...models.flatMap(model =>
      staying.flatMap(engine => adapterOrders(engine, model)),
    ),
    ...models.flatMap(model =>
      staying.flatMap(engine => versionOrders(engine, model)),
    ),
    ...staying.flatMap(engine => roleOrders(engine, target)),
  ];
}
