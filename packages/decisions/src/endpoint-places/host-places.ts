import type {Allotment} from './place-division.js';

/**
 * The places that one host may use. While its own ones are handed over to another host,
 * it has what that host allots; once that may no longer give them out, it has its own
 * again. All times are on the monotonic clock, in milliseconds.
 *
 * @example
 * ```ts
 * const places = new HostPlaces();
 * places.handedOver(running, now + 1_000);
 * places.allotted(allotment);
 * places.allottedAt('engine-1', now + 500); // 2
 * places.allottedAt('engine-1', now + 1_000); // undefined
 * ```
 */
export class HostPlaces {
  private allotment: Allotment = new Map();
  private boundUntil = -Infinity;

  /** Whether its own places are handed over. */
  isBound(now: number): boolean {
    return now < this.boundUntil;
  }

  /**
   * Records that the host hands its places over, except those that it keeps.
   *
   * @param kept Places that its requests have.
   * @param until When the other host no longer gives the rest out.
   */
  handedOver(kept: Allotment, until: number): void {
    this.allotment = kept;
    this.boundUntil = until;
  }

  /** Records the answer to the latest handover. */
  allotted(allotment: Allotment): void {
    this.allotment = allotment;
  }

  /** Places that the host may use at an endpoint; undefined if its own ones. */
  allottedAt(endpoint: string, now: number): number | undefined {
    return this.isBound(now) ? (this.allotment.get(endpoint) ?? 0) : undefined;
  }
}
