/**
 * The kind of change. The values are those of the platform's `EngineOrderKind`.
 */
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
  /** Greater than in any order planned before. */
  readonly fencingNumber: number;
  /** Whether the order first needs a ticket of the weight store. */
  readonly fetchesWeights: boolean;
}

/** How an order ended. */
export enum OrderOutcome {
  /** The engine carried it out. */
  Done = 'done',
  /**
   * The engine rejected it, because another planner uses a higher fencing
   * number.
   */
  Fenced = 'fenced',
  /**
   * The outcome cannot be determined; the engine may still carry out the order.
   */
  Unknown = 'unknown',
}
