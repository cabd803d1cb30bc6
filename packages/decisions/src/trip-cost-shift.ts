import {ShiftPolicy} from './shift-policy.js';

/**
 * Part of a remote endpoint's slots that shifted work may fill. Load: one data
 * centre at twice its capacity beside others. Harm: reports lag, so shifted work
 * would take the slots that the other data centre's own callers need before
 * anybody sees it. The rest stays free for them.
 */
const REMOTE_SLOT_SHARE = 0.75;

/**
 * The local wait must be this many trips long, so that work does not go to and
 * fro when the two cost about the same.
 */
const TRIPS_WORTH_WAITING = 2;

/** Shifts only when local queueing costs clearly more than the trip. */
export class TripCostShift extends ShiftPolicy {
  override isWorthTheTrip(
    localWaitMilliseconds: number,
    tripMilliseconds: number,
  ): boolean {
    return localWaitMilliseconds > TRIPS_WORTH_WAITING * tripMilliseconds;
  }

  override remoteSlots(usableSlots: number): number {
    return Math.max(1, Math.floor(usableSlots * REMOTE_SLOT_SHARE));
  }
}
