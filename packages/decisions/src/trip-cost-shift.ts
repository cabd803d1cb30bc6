import {ShiftPolicy} from './shift-policy.js';

/**
 * Share of a remote endpoint's slots that shifted work may use. When one data
 * centre is at twice its capacity beside others, load reports lag, and shifted
 * work would take the slots that the other data centre's own callers need
 * before any router notices. The remaining slots stay free for them.
 */
const REMOTE_SLOT_SHARE = 0.75;

/**
 * Minimum local wait, in round trips, for shifting a request. It keeps work
 * from moving back and forth when both options cost about the same.
 */
const MINIMUM_ROUND_TRIPS = 2;

/**
 * Shifts requests only if queueing locally costs clearly more than the round
 * trip.
 */
export class TripCostShift extends ShiftPolicy {
  override isShiftWorthwhile(
    localWaitMilliseconds: number,
    roundTripMilliseconds: number,
  ): boolean {
    return localWaitMilliseconds > MINIMUM_ROUND_TRIPS * roundTripMilliseconds;
  }

  override remoteSlots(usableSlots: number): number {
    return Math.max(1, Math.floor(usableSlots * REMOTE_SLOT_SHARE));
  }
}
