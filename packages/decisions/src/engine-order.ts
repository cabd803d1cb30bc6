/** What an order changes. Same values as the platform's `EngineOrderKind`. */
export enum PlannedOrderKind {
  LoadModel = 'load-model',
  LoadAdapter = 'load-adapter',
  ChangeVersion = 'change-version',
  ChangeRole = 'change-role',
}

/** An order to one engine. */
export interface PlannedOrder {
  readonly endpoint: string;
  readonly kind: PlannedOrderKind;
  /** The model, `model@version`, the adapter or the role. */
  readonly subject: string;
  /** Higher than in any order planned before. */
  readonly fencingNumber: number;
  /** Whether a ticket of the weight store is needed first. */
  readonly fetchesWeights: boolean;
}

/** How an order ended. */
export enum OrderOutcome {
  /** The engine did it. */
  Done = 'done',
  /** The engine refused it: somebody else orders with a higher number. */
  Fenced = 'fenced',
  /** Nobody can tell; the engine may still do it. */
  Unknown = 'unknown',
}
