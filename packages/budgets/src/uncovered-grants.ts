import type {BudgetFold} from './budget-fold.js';
import type {GrantVerdict} from './budget-view.js';

/**
 * Part of an organisation's unallocated tokens that holders use from grants which no
 * checkpoint contains. A larger part takes fewer checkpoints, and more counts as spent if
 * the store drops the records.
 */
const UNCOVERED_PART = 0.25;
/** Part of the limit above which a checkpoint is written before any grant waits for it. */
const NEAR_LIMIT_PART = 0.5;

/** Tokens by organisation. */
export type TokenLimits = ReadonlyMap<string, number>;

interface PlacedGrant {
  /** Offset of its record. */
  readonly offset: number;
  readonly tokens: number;
}

/**
 * The grants after the newest known checkpoint, of all holders. The store may drop their
 * records while no process runs. Processes that start afterwards charge the checkpoint's
 * limits for them, so that no holder may use grants beyond these.
 */
export class UncoveredGrants {
  private readonly grants = new Map<string, PlacedGrant[]>();
  private limits: TokenLimits = new Map();

  /** Adds a grant whose record has this offset. */
  add({organisation, granted}: GrantVerdict, offset: number): void {
    const grants = this.grants.get(organisation) ?? [];
    grants.push({offset, tokens: granted});
    this.grants.set(organisation, grants);
  }

  /**
   * Applies a checkpoint.
   *
   * @param checkpointOffset Its next offset: it contains the grants before.
   * @param limits Its limits.
   */
  cover(checkpointOffset: number, limits: TokenLimits): void {
    this.limits = limits;
    for (const [organisation, grants] of this.grants) {
      const left = grants.filter(({offset}) => offset >= checkpointOffset);
      if (left.length === 0) {
        this.grants.delete(organisation);
      } else {
        this.grants.set(organisation, left);
      }
    }
  }

  /** Whether all grants of an organisation may be used before the next checkpoint. */
  mayUse(organisation: string): boolean {
    return this.tokens(organisation) <= this.limit(organisation);
  }

  /** Whether the next grant of an organisation may have to wait for a checkpoint. */
  isNearLimit(organisation: string): boolean {
    const limit = NEAR_LIMIT_PART * this.limit(organisation);
    return this.tokens(organisation) > limit;
  }

  /**
   * The limits for a new checkpoint. They are never less than what holders that know only
   * the checkpoint before may still use.
   *
   * @param prepaid Budgets of the configuration, for organisations without grants.
   * @example
   * ```ts
   * const limits = uncovered.nextLimits(fold, new Map([['school', 1_000]]));
   * ```
   */
  nextLimits(fold: BudgetFold, prepaid: TokenLimits): TokenLimits {
    const organisations = new Set([
      ...this.limits.keys(),
      ...prepaid.keys(),
      ...fold.organisations.keys(),
    ]);
    return new Map(
      [...organisations].map(organisation => {
        const unallocated =
          fold.view(organisation)?.unallocated ??
          prepaid.get(organisation) ??
          0;
        const left = this.limit(organisation) - this.tokens(organisation);
        const limit = Math.max(0, left, UNCOVERED_PART * unallocated);
        return [organisation, Math.floor(limit)];
      }),
    );
  }

  /** Removes all grants. */
  clear(): void {
    this.grants.clear();
  }

  private limit(organisation: string): number {
    return this.limits.get(organisation) ?? 0;
  }

  private tokens(organisation: string): number {
    const grants = this.grants.get(organisation) ?? [];
    return grants.reduce((sum, {tokens}) => sum + tokens, 0);
  }
}
