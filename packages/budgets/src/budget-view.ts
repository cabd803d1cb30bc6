/** What the fold knows of an organisation's budget at one offset. */
export interface BudgetView {
  /** Total of the newest configuration that any record named. */
  readonly prepaid: number;
  /** Tokens that no process holds and that nobody has spent. */
  readonly unallocated: number;
  /** Tokens that are known to be gone: charged by living or ended processes. */
  readonly spent: number;
  /** Processes that hold grants or may ask for one. */
  readonly holders: number;
}

/** How the fold answered a request for a grant. */
export interface GrantVerdict {
  readonly incarnation: string;
  readonly sequence: number;
  readonly organisation: string;
  /** 0 where it was denied. */
  readonly granted: number;
}
