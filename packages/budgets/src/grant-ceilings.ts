import type {BudgetFold} from './budget-fold.js';

/**
 * Part of an organisation's unallocated tokens by which a ceiling exceeds what is
 * allocated. A larger part takes fewer writes, and more counts as spent if the store
 * drops records that no checkpoint contains.
 */
const ROOM_PART = 0.25;
/** Part of a new ceiling's room below which the ceiling is raised ahead of time. */
const NEAR_ROOM_PART = 0.5;
/**
 * The same part of a whole budget, for the end of it: many holders request small grants
 * then.
 */
const MINIMUM_ROOM_PART = 0.1;

/** Tokens by organisation. */
export type TokenLimits = ReadonlyMap<string, number>;

/**
 * Tokens of an organisation that grants hold, or that count as spent by ended processes.
 * Returned tokens are no part of it.
 */
export function allocatedTokens(
  fold: BudgetFold,
  organisation: string,
): number {
  const budget = fold.organisations.get(organisation);
  return budget === undefined ? 0 : budget.closedCharge + budget.outstanding;
}

/**
 * The ceilings of allocated tokens up to which holders use grants. The store keeps them
 * for ever, and the records of grants for a time only: processes that start after it
 * dropped the records count all tokens below the ceilings as spent.
 *
 * A grant is used only if the allocated tokens right after its record, or after a later
 * one, are within a ceiling in the store. All that was ever used is part of what was
 * allocated at the last of these records, so that it is within the ceiling as well. What
 * is returned makes room for other grants.
 */
export class GrantCeilings {
  private ceilings: TokenLimits = new Map();

  /** Replaces the ceilings by newer ones from the store. */
  replace(ceilings: TokenLimits): void {
    this.ceilings = ceilings;
  }

  /** Whether an organisation has a ceiling, so that grants of it may be used. */
  has(organisation: string): boolean {
    return this.ceiling(organisation) > 0;
  }

  /** Whether the organisation's grants up to the fold's last record may be used. */
  mayUse(fold: BudgetFold, organisation: string): boolean {
    return allocatedTokens(fold, organisation) <= this.ceiling(organisation);
  }

  /**
   * Whether the organisation's next grants may have to wait for a higher ceiling.
   *
   * @param prepaid The configuration's budget, which no record may have told yet.
   */
  isNear(fold: BudgetFold, organisation: string, prepaid: number): boolean {
    const allocated = allocatedTokens(fold, organisation);
    const room = this.ceiling(organisation) - allocated;
    const nextRoom = this.next(fold, organisation, prepaid) - allocated;
    return room < NEAR_ROOM_PART * nextRoom;
  }

  /**
   * The ceilings to store next. None is lower than before, as other holders may have used
   * grants up to it.
   *
   * @param prepaid Budgets of the configuration.
   * @example
   * ```ts
   * const ceilings = grantCeilings.raised(fold, new Map([['school', 1_000]]));
   * ```
   */
  raised(fold: BudgetFold, prepaid: TokenLimits): TokenLimits {
    const organisations = new Set([
      ...this.ceilings.keys(),
      ...prepaid.keys(),
      ...fold.organisations.keys(),
    ]);
    return new Map(
      [...organisations].map(organisation => [
        organisation,
        this.next(fold, organisation, prepaid.get(organisation) ?? 0),
      ]),
    );
  }

  private next(
    fold: BudgetFold,
    organisation: string,
    prepaid: number,
  ): number {
    const allocated = allocatedTokens(fold, organisation);
    const folded = fold.organisations.get(organisation)?.prepaid ?? 0;
    const budget = Math.max(folded, prepaid);
    const rest = Math.max(0, budget - allocated);
    const room = Math.max(ROOM_PART * rest, MINIMUM_ROOM_PART * budget);
    return Math.max(
      this.ceiling(organisation),
      allocated + Math.ceil(Math.min(rest, room)),
    );
  }

  private ceiling(organisation: string): number {
    return this.ceilings.get(organisation) ?? 0;
  }
}
