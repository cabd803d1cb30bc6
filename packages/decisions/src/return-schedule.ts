/** Nobody is sent away for longer than this. */
const LONGEST_RETURN_MILLISECONDS = 30_000;
/** Nobody is asked back sooner than this. */
const SHORTEST_RETURN_MILLISECONDS = 100;
/** Organisations remembered; the one longest unseen is forgotten. */
const REMEMBERED_ORGANISATIONS = 4_096;
/** Returns are spread by up to this part of their delay. */
const SPREAD = 0.2;

/**
 * Computes when refused callers should come back. Load: an organisation offers
 * more than its share and obeys what it is told. Harm: told the same time, all
 * its refused callers return together and most are refused again. Each refusal
 * therefore books the next free moment at the rate at which the organisation is
 * being served (a leaky bucket), at most half a minute ahead.
 */
export class ReturnSchedule {
  private readonly bookedUntil = new Map<string, number>();

  /** @param fraction Random numbers from 0 (included) to 1 (excluded). */
  constructor(private readonly fraction: () => number) {}

  /**
   * Books a return.
   *
   * @param excessMilliseconds By how much the wait is too long now.
   * @param turnMilliseconds How long the organisation's share takes to serve
   *     one such request.
   * @returns Milliseconds after which the caller should come back.
   */
  book(
    organisation: string,
    excessMilliseconds: number,
    turnMilliseconds: number,
    now: number,
  ): number {
    const earliest = now + excessMilliseconds;
    const booked = Math.max(
      earliest,
      this.bookedUntil.get(organisation) ?? earliest,
    );
    const latest = now + LONGEST_RETURN_MILLISECONDS;
    this.remember(organisation, Math.min(latest, booked + turnMilliseconds));
    const delay = (booked - now) * (1 + SPREAD * this.fraction());
    return Math.ceil(
      Math.min(
        LONGEST_RETURN_MILLISECONDS,
        Math.max(SHORTEST_RETURN_MILLISECONDS, delay),
      ),
    );
  }

  private remember(organisation: string, until: number): void {
    this.bookedUntil.delete(organisation);
    this.bookedUntil.set(organisation, until);
    if (this.bookedUntil.size > REMEMBERED_ORGANISATIONS) {
      for (const oldest of this.bookedUntil.keys()) {
        this.bookedUntil.delete(oldest);
        break;
      }
    }
  }
}
