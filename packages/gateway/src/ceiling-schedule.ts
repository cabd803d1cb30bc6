/**
 * Pause after a write of ceilings before the next one that no grant waits for. One write
 * raises the ceilings of all organisations.
 */
const RAISE_INTERVAL_MILLISECONDS = 250;
/** Time within which the holder whose grant came near a ceiling raises it. */
const BACKUP_MILLISECONDS = 300;
/** The same where grants wait for the ceiling. */
const URGENT_BACKUP_MILLISECONDS = 20;
/** Additional delay of each further holder, as a part of these times. */
const RANK_DELAY_PART = 0.25;
/** Maximum delay, as a multiple of these times. */
const MAXIMUM_DELAYS = 10;

/** What a holder knows when it decides whether to raise ceilings. */
export interface CeilingState {
  /** Monotonic time, milliseconds. */
  readonly now: number;
  /** All holders by incarnation, in the order of the fold. */
  readonly holders: ReadonlyMap<string, unknown>;
  /** This process. */
  readonly incarnation: string;
  /** Whether a grant of this process waits for a higher ceiling. */
  readonly isWaiting: boolean;
}

/**
 * Decides which holder raises ceilings, so that the number of writes does not depend on
 * the number of holders: the one whose grant came near a ceiling, and the others one
 * after the other if it does not.
 */
export class CeilingSchedule {
  private near:
    | {readonly incarnation: string | undefined; readonly since: number}
    | undefined;
  private raisedAt = -Infinity;

  /** Whether a ceiling is to be raised. */
  get isPending(): boolean {
    return this.near !== undefined;
  }

  /**
   * Notes that an organisation's next grants may have to wait.
   *
   * @param incarnation The process whose grant caused it; undefined for a new budget.
   */
  cameNear(incarnation: string | undefined, now: number): void {
    this.near ??= {incarnation, since: now};
  }

  /**
   * Notes that this process has learned of newer ceilings.
   *
   * @param isSufficient Whether no organisation is near its ceiling any more.
   */
  raised(isSufficient: boolean, now: number): void {
    this.raisedAt = now;
    this.near =
      isSufficient || this.near === undefined
        ? undefined
        : {...this.near, since: now};
  }

  /** Whether this holder has caused the pending change, so that no other writes yet. */
  isFirst({incarnation, holders}: CeilingState): boolean {
    const first = this.near?.incarnation;
    return first !== undefined && holders.has(first)
      ? first === incarnation
      : rankOf(incarnation, holders) === 0;
  }

  /**
   * Whether this holder writes higher ceilings now.
   *
   * @example
   * ```ts
   * schedule.isDue({now, holders: fold.holders, incarnation, isWaiting: false});
   * ```
   */
  isDue(state: CeilingState): boolean {
    const {now, holders, incarnation, isWaiting} = state;
    if (this.near === undefined || !holders.has(incarnation)) {
      return false;
    }
    if (!isWaiting && now < this.raisedAt + RAISE_INTERVAL_MILLISECONDS) {
      return false;
    }
    if (this.isFirst(state)) {
      return true;
    }
    const unit = isWaiting ? URGENT_BACKUP_MILLISECONDS : BACKUP_MILLISECONDS;
    const delays = 1 + RANK_DELAY_PART * rankOf(incarnation, holders);
    return now >= this.near.since + unit * Math.min(MAXIMUM_DELAYS, delays);
  }
}

function rankOf(
  incarnation: string,
  holders: ReadonlyMap<string, unknown>,
): number {
  return [...holders.keys()].indexOf(incarnation);
}
