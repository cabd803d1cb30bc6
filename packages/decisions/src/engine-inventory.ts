/** The role of an engine in the fleet. */
export enum EngineRole {
  /** Processes prompts and generates answers. */
  General = 'general',
  /** Processes prompts and hands their KV cache to other engines. */
  Prefill = 'prefill',
  /** Generates answers from KV caches handed over by other engines. */
  Decode = 'decode',
}

/** A model in one version, loaded on an engine. */
export interface LoadedModel {
  readonly model: string;
  readonly version: string;
}

/** The inventory that an engine reports. */
export interface EngineInventory {
  readonly endpoint: string;
  readonly models: readonly LoadedModel[];
  readonly adapters: readonly string[];
  readonly role: EngineRole;
  readonly slots: number;
  readonly leaving: boolean;
  /** Whether it rejects orders with an outdated fencing number. */
  readonly checksFencingNumbers: boolean;
  /** Number of models that fit into its memory. */
  readonly maximumModels: number;
}

/** Requirements of one model. */
export interface ModelTarget {
  readonly model: string;
  readonly version: string;
  /** Adapters that have to be loaded on its engines. */
  readonly adapters: readonly string[];
  /** Number of slots that its measured demand occupies. */
  readonly demandedSlots: number;
}

/** Desired state of the fleet. */
export interface FleetTarget {
  readonly models: readonly ModelTarget[];
  /** Desired role by endpoint; General for endpoints that are not listed. */
  readonly roles: ReadonlyMap<string, EngineRole>;
}
