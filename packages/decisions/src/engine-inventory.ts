/** What an engine does for the fleet. */
export enum EngineRole {
  /** Works on prompts and answers alike. */
  General = 'general',
  /** Works on prompts and hands their cache on. */
  Prefill = 'prefill',
  /** Goes on from handed-on caches. */
  Decode = 'decode',
}

/** A model on an engine, in one version. */
export interface LoadedModel {
  readonly model: string;
  readonly version: string;
}

/** One engine as it reports itself. */
export interface EngineInventory {
  readonly endpoint: string;
  readonly models: readonly LoadedModel[];
  readonly adapters: readonly string[];
  readonly role: EngineRole;
  readonly slots: number;
  readonly leaving: boolean;
  /** Whether it refuses an order that carries an old fencing number. */
  readonly checksFencingNumbers: boolean;
  /** Models that fit into its memory. */
  readonly maximumModels: number;
}

/** What one model needs of the fleet. */
export interface ModelTarget {
  readonly model: string;
  readonly version: string;
  /** Adapters that its engines hold. */
  readonly adapters: readonly string[];
  /** Slots that its demand takes, by measurement. */
  readonly demandedSlots: number;
}

/** What the fleet should become. */
export interface FleetTarget {
  readonly models: readonly ModelTarget[];
  /** Roles wanted, by endpoint; General where none is named. */
  readonly roles: ReadonlyMap<string, EngineRole>;
}
